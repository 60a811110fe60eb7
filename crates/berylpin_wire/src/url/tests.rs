use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn an_encoded_name_decodes_to_itself_and_has_no_other_meaning(name in any::<String>()) {
        let text = encode_segment(&name).to_string();
        let decoded = percent_encoding::percent_decode_str(&text).decode_utf8().unwrap();
        prop_assert_eq!(&*decoded, name.as_str());
        prop_assert!(!text.contains(['/', '?', '#', '&', '+', ' ', '=']));
    }
}
