use super::*;

#[test]
fn unknown_key_is_reported_with_its_line_and_the_most_similar_known_key() {
    let mut problems = Problems::default();
    let mut section = Section::parse("a = 1\nthreds = 2\nzzz = 3\n", &mut problems).unwrap();
    assert_eq!(section.optional::<u32>("a", EXPECTED_INTEGER, &mut problems).unwrap().value, 1);
    assert!(section.optional::<u32>("threads", EXPECTED_INTEGER, &mut problems).is_none());
    section.reject_unknown_keys(&mut problems);
    let reported: Vec<_> = problems.into_sorted().iter().map(ToString::to_string).collect();
    assert_eq!(
        reported,
        [
            "line 2: threds: this key is unknown; did you mean `threads`?",
            "line 3: zzz: this key is unknown; known keys are `a`, `threads`",
        ]
    );
}

#[test]
fn all_invalid_and_missing_values_are_reported() {
    let mut problems = Problems::default();
    let mut section = Section::parse("a = \"x\"\nb = -1\n", &mut problems).unwrap();
    assert!(section.required::<u32>("a", EXPECTED_INTEGER, &mut problems).is_none());
    assert!(section.required::<u32>("b", EXPECTED_INTEGER, &mut problems).is_none());
    assert!(section.required::<u32>("c", EXPECTED_INTEGER, &mut problems).is_none());
    let lines: Vec<_> = problems.into_sorted().iter().map(|p| (p.line, p.key.clone())).collect();
    let expected = [(Some(1), "a"), (Some(1), "c"), (Some(2), "b")];
    assert_eq!(lines, expected.map(|(line, key)| (line, key.to_owned())));
}

#[test]
fn problems_beyond_the_limit_are_discarded() {
    let mut problems = Problems::default();
    for _ in 0..2 * MAX_PROBLEMS {
        problems.add(None, "a", "wrong");
    }
    assert_eq!(problems.into_sorted().len(), MAX_PROBLEMS);
}
