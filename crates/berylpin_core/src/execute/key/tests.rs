use super::*;
use proptest::prelude::*;

fn issuer(secret: &[u8]) -> Issuer {
    Issuer::new(MemberTag(7), ThreadId::from_index(1), 42, secret, Instant::now())
}

proptest! {
    #[test]
    fn a_formatted_key_parses_to_the_same_authentic_key(elapsed_ms in 0_u64..1_000_000, count in 1_usize..5) {
        let mut issuer = issuer(b"secret");
        let now = issuer.started + Duration::from_millis(elapsed_ms);
        for _ in 0..count {
            let key = issuer.issue(now);
            let parsed: ExecutionKey = key.to_string().parse().unwrap();
            prop_assert_eq!(parsed, key);
            prop_assert!(issuer.is_authentic(&parsed));
            prop_assert_eq!(issuer.issued_at(&parsed), now);
        }
    }

    #[test]
    fn a_key_with_a_changed_digit_is_not_authentic(at in 0_usize..2 * KEY_BYTES, digit in 0_u32..16) {
        let mut issuer = issuer(b"secret");
        let text = issuer.issue(issuer.started).to_string();
        let digit = char::from_digit(digit, 16).unwrap();
        let changed: String =
            text.chars().enumerate().map(|(i, c)| if i == at { digit } else { c }).collect();
        let key: ExecutionKey = changed.parse().unwrap();
        prop_assert_eq!(issuer.is_authentic(&key), changed == text);
    }

    #[test]
    fn text_of_another_length_does_not_parse(text in ".{0,120}") {
        prop_assume!(text.len() != 2 * KEY_BYTES);
        prop_assert_eq!(text.parse::<ExecutionKey>(), Err(ParseKeyError));
    }
}

#[test]
fn a_key_of_another_secret_is_not_authentic() {
    let mut other = issuer(b"other");
    let key = other.issue(other.started);
    assert!(!issuer(b"secret").is_authentic(&key));
}
