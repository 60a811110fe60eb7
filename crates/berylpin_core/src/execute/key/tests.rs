use super::*;
use proptest::prelude::*;

fn issuer(secret: &[u8]) -> Issuer {
    Issuer::new(MemberTag(7), ThreadId::from_index(1), 42, secret, Instant::now())
}

proptest! {
    #[test]
    fn a_key_survives_its_text(wait_ms in 0_u64..1_000_000, count in 1_usize..5) {
        let mut issuer = issuer(b"secret");
        let now = issuer.started + Duration::from_millis(wait_ms);
        for _ in 0..count {
            let key = issuer.issue(now);
            let read: ExecutionKey = key.to_string().parse().unwrap();
            prop_assert_eq!(read, key);
            prop_assert!(issuer.is_authentic(&read));
            prop_assert_eq!(issuer.issued_at(&read), now);
        }
    }

    #[test]
    fn a_key_with_any_digit_changed_is_refused(at in 0_usize..2 * KEY_BYTES, digit in 0_u32..16) {
        let mut issuer = issuer(b"secret");
        let text = issuer.issue(issuer.started).to_string();
        let digit = char::from_digit(digit, 16).unwrap();
        let changed: String =
            text.chars().enumerate().map(|(i, c)| if i == at { digit } else { c }).collect();
        let key: ExecutionKey = changed.parse().unwrap();
        prop_assert_eq!(issuer.is_authentic(&key), changed == text);
    }

    #[test]
    fn other_text_is_no_key(text in ".{0,120}") {
        prop_assume!(text.len() != 2 * KEY_BYTES);
        prop_assert_eq!(text.parse::<ExecutionKey>(), Err(ParseKeyError));
    }
}

#[test]
fn a_key_of_another_secret_is_refused() {
    let mut other = issuer(b"other");
    let key = other.issue(other.started);
    assert!(!issuer(b"secret").is_authentic(&key));
}
