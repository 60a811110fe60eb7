use super::*;
use proptest::prelude::*;

fn handshake() -> Handshake {
    Handshake {
        member: MemberTag(7),
        address: "10.0.0.1:7001".parse().unwrap(),
        client_challenge: 1,
        server_challenge: 2,
    }
}

fn key(text: &str) -> Secret {
    Secret::new(text).unwrap()
}

#[test]
fn proof_is_valid_only_for_its_handshake_side_and_key() {
    let key = key("0123456789abcdef");
    let signed = handshake();
    let proof = signed.sign(&key, Side::Client);
    assert!(signed.verify(&key, Side::Client, &proof));
    assert!(!signed.verify(&key, Side::Server, &proof));
    let others = [
        Handshake { member: MemberTag(8), ..signed },
        Handshake { address: "10.0.0.2:7001".parse().unwrap(), ..signed },
        Handshake { client_challenge: 3, ..signed },
        Handshake { server_challenge: 3, ..signed },
    ];
    assert!(others.iter().all(|other| !other.verify(&key, Side::Client, &proof)));
    assert!(!signed.verify(&self::key("0123456789abcdeF"), Side::Client, &proof));
}

proptest! {
    #[test]
    fn arbitrary_text_is_not_a_valid_proof(text in "\\PC{0,70}") {
        prop_assert!(!handshake().verify(&key("0123456789abcdef"), Side::Client, &text));
    }
}
