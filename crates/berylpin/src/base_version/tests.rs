use super::*;

#[test]
fn an_edited_document_gives_its_version_and_text_back() {
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
fn a_document_without_the_line_is_left_alone() {
    assert_eq!(split_base_version("service = \"a\"\n"), (None, "service = \"a\"\n"));
}
