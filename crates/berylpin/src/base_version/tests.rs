use super::*;

#[test]
fn version_and_text_survive_a_round_trip() {
    let document = Document {
        name: "belge".to_owned(),
        version: 17,
        editor: "ayşe".to_owned(),
        text: "service = \"belge\"\n".to_owned(),
    };
    let text = with_base_version(&document);
    assert_eq!(split_base_version(&text), (Some(17), document.text.as_str()));
}

#[test]
fn document_without_a_base_version_is_unchanged() {
    assert_eq!(split_base_version("service = \"a\"\n"), (None, "service = \"a\"\n"));
}
