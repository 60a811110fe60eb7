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
fn a_proof_holds_for_its_own_handshake_only() {
    let key = key("0123456789abcdef");
    let own = handshake();
    let proof = own.sign(&key, Side::Client);
    assert!(own.verify(&key, Side::Client, &proof));
    assert!(!own.verify(&key, Side::Server, &proof));
    let others = [
        Handshake { member: MemberTag(8), ..own },
        Handshake { address: "10.0.0.2:7001".parse().unwrap(), ..own },
        Handshake { client_challenge: 3, ..own },
        Handshake { server_challenge: 3, ..own },
    ];
    assert!(others.iter().all(|other| !other.verify(&key, Side::Client, &proof)));
    assert!(!own.verify(&self::key("0123456789abcdeF"), Side::Client, &proof));
}

proptest! {
    #[test]
    fn other_texts_are_no_proof(text in "\\PC{0,70}") {
        prop_assert!(!handshake().verify(&key("0123456789abcdef"), Side::Client, &text));
    }
}
