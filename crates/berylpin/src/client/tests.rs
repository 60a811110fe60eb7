use super::*;

/// A name with characters of a URL meant another document.
#[test]
fn the_path_of_a_document_encodes_its_name() {
    assert_eq!(document_path("quota-desk"), "/v1/documents/quota-desk");
    assert_eq!(document_path("a/b?c#d%"), "/v1/documents/a%2Fb%3Fc%23d%25");
}
