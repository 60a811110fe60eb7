use super::*;

#[test]
fn a_long_text_is_cut_between_characters() {
    assert_eq!(excerpt("i-7f"), "i-7f");
    let longest = "\u{1f980}".repeat(MAX_EXCERPT_CHARS);
    assert_eq!(excerpt(&longest), longest);
    assert_eq!(excerpt(&format!("{longest}x")), longest);
    assert_eq!(excerpt(""), "");
}
