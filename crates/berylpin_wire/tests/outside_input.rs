//! Bytes from outside: random ones, valid ones with changes, and ones that claim too much.
//!
//! Each parser ends with a value or a clear error, without a panic.

use berylpin_core::arena::Slab;
use berylpin_core::config::ServiceSettings;
use berylpin_core::ids::{Key, QueryTag, ReplicaTag, Snapshot, ThreadId};
use berylpin_core::message::{
    AttemptId, Batch, FailReason, Hint, Outcome, QueryMessage, Row, SnapshotRange, SubQuery,
    SubQueryReply,
};
use berylpin_core::rank::Rank;
use berylpin_core::verdict::Verdict;
use berylpin_wire::admin::{Conflict, Document, DrainBody, InForce, NotStored};
use berylpin_wire::caller::{AnswerBody, CoverageBody, MissingBody, QueryBody, RefusalBody};
use berylpin_wire::frame::{Decoder, Frame, FrameError, MAX_FRAME_BYTES, encode};
use berylpin_wire::platform::{Object, ObjectList, Stored, Vm};
use berylpin_wire::upstream::LookupReply;
use bytes::{BufMut, Bytes, BytesMut};
use proptest::prelude::*;
use proptest::sample::Index;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

const DOCUMENT: &str = r#"
service = "bursar-sync-01"
group = "bursar-sync"
extra_load = 0.05

[targets]
urgent = "100ms"

[[shard]]
name = "a"

[[shard.replica]]
address = "127.0.0.1:9000"
data_centre = "palermo-1"
slots = 2
connections = 25
"#;

/// One change to a text.
#[derive(Clone, Debug)]
enum Change {
    Replace(Index, u8),
    Insert(Index, u8),
    Remove(Index),
    Cut(Index),
    /// A stretch from the first place on stands once more at the second.
    Repeat(Index, Index),
}

fn change() -> impl Strategy<Value = Change> {
    let byte = prop_oneof![any::<u8>(), prop::sample::select(b"{}[]\",:0919-.=\n".to_vec())];
    prop_oneof![
        (any::<Index>(), byte.clone()).prop_map(|(at, byte)| Change::Replace(at, byte)),
        (any::<Index>(), byte).prop_map(|(at, byte)| Change::Insert(at, byte)),
        any::<Index>().prop_map(Change::Remove),
        any::<Index>().prop_map(Change::Cut),
        (any::<Index>(), any::<Index>()).prop_map(|(from, to)| Change::Repeat(from, to)),
    ]
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    let length = bytes.len().max(1);
    match change {
        _ if bytes.is_empty() => {}
        Change::Replace(at, byte) => bytes[at.index(length)] = *byte,
        Change::Insert(at, byte) => bytes.insert(at.index(length), *byte),
        Change::Remove(at) => drop(bytes.remove(at.index(length))),
        Change::Cut(at) => bytes.truncate(at.index(length)),
        Change::Repeat(from, to) => {
            let piece: Vec<u8> = bytes[from.index(length)..].iter().copied().take(16).collect();
            let to = to.index(length);
            bytes.splice(to..to, piece);
        }
    }
}

/// Either random bytes or one of some valid texts with a few changes.
fn input(valid: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let edits = prop::collection::vec(change(), 0..6);
    let edited = (prop::sample::select(valid), edits).prop_map(|(mut bytes, edits)| {
        for edit in &edits {
            apply(&mut bytes, edit);
        }
        bytes
    });
    prop_oneof![1 => prop::collection::vec(any::<u8>(), 0..300), 4 => edited]
}

fn json<T>(body: &T) -> Vec<u8>
where
    T: Serialize,
{
    serde_json::to_vec(body).unwrap()
}

fn rows() -> Vec<Row> {
    vec![Row { key: "account-1/belge/main".to_owned(), value: "3".to_owned() }]
}

const RANGE: SnapshotRange = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };

fn bodies() -> Vec<Vec<u8>> {
    let (service, shard) = ("belge".to_owned(), "main".to_owned());
    let missing = vec![MissingBody { service, shard, reason: FailReason::Deadline }];
    let query = QueryBody {
        target: "belge".to_owned(),
        rank: Rank::Urgent,
        deadline_ms: Some(250),
        limit: Some(10),
        lookup: "account-1".to_owned(),
    };
    let answer = AnswerBody {
        complete: false,
        snapshot: Snapshot(3),
        coverage: CoverageBody { asked: 2, answered: 1, missing },
        rows: rows(),
    };
    let reply = LookupReply {
        request: QueryTag(7).to_string(),
        shard: "main".to_owned(),
        snapshot: Snapshot(3),
        serves: RANGE,
        rows: rows(),
    };
    let object =
        Object { name: "services/belge".to_owned(), version: 4, value: DOCUMENT.to_owned() };
    let vm = Vm {
        name: "entry-1".to_owned(),
        data_centre: "ege-1".to_owned(),
        peer_address: ([127, 0, 0, 1], 7001).into(),
        leaving: false,
    };
    let drain = DrainBody { service: "belge".to_owned(), address: vm.peer_address, drain: true };
    let objects = ObjectList { revision: 4, objects: vec![object] };
    vec![json(&query), json(&answer), json(&reply), json(&objects), json(&vec![vm]), json(&drain)]
}

/// Reads bytes; an error has a text that names its place or what is missing.
fn read<T>(bytes: &[u8])
where
    T: DeserializeOwned,
{
    if let Err(e) = serde_json::from_slice::<T>(bytes) {
        assert!(e.line() > 0 || e.is_eof() || e.is_data(), "{e}");
        assert!(!e.to_string().is_empty());
    }
}

fn frames() -> Vec<Vec<u8>> {
    let query = Slab::default().insert(());
    let tag = QueryTag(7);
    let attempt =
        AttemptId { thread: ThreadId::from_index(1), query, tag, position: 3, ordinal: 0 };
    let replica = ReplicaTag(9);
    let batch = QueryMessage::Batch(Batch {
        query: QueryTag(5),
        rank: Rank::Background,
        time_left: Duration::from_millis(250),
        snapshot: Snapshot(3),
        body: Bytes::from_static(b"account-1"),
        parts: vec![SubQuery { attempt, replica }],
    });
    let hint = Hint { snapshots: Some(RANGE), usable: true, ..Hint::default() };
    let reply = |outcome| QueryMessage::Reply(SubQueryReply { attempt, replica, outcome, hint });
    let failed = Outcome::Failed { verdict: Verdict::NotRun, reason: FailReason::Draining };
    let merged = Outcome::Rows { snapshot: Snapshot(3), rows: rows() };
    let messages = [batch, reply(failed), reply(merged)];
    let encoded = messages.map(|message| {
        let mut buf = BytesMut::new();
        encode(&Frame::Query(message), &mut buf);
        buf.to_vec()
    });
    encoded.to_vec()
}

proptest! {
    #[test]
    fn bodies_are_read_or_refused(bytes in input(bodies())) {
        read::<QueryBody>(&bytes);
        read::<AnswerBody>(&bytes);
        read::<RefusalBody>(&bytes);
        read::<LookupReply>(&bytes);
        read::<SnapshotRange>(&bytes);
        read::<ObjectList>(&bytes);
        read::<Stored>(&bytes);
        read::<Vec<Vm>>(&bytes);
        read::<Document>(&bytes);
        read::<Conflict>(&bytes);
        read::<NotStored>(&bytes);
        read::<InForce>(&bytes);
        read::<DrainBody>(&bytes);
    }

    #[test]
    fn documents_are_read_or_refused(bytes in input(vec![DOCUMENT.as_bytes().to_vec()])) {
        let text = String::from_utf8_lossy(&bytes);
        if let Err(e) = ServiceSettings::parse(&text) {
            prop_assert!(!e.to_string().is_empty());
        }
    }

    #[test]
    fn frames_are_read_or_refused(bytes in input(frames()), cut in 1_usize..64) {
        let mut decoder = Decoder::default();
        let mut read = 0;
        'stream: for piece in bytes.chunks(cut) {
            decoder.extend(&Bytes::copy_from_slice(piece));
            loop {
                match decoder.next_frame() {
                    Ok(Some(_)) => read += 1,
                    Ok(None) => break,
                    Err(e) => {
                        prop_assert!(!e.to_string().is_empty());
                        break 'stream;
                    }
                }
            }
        }
        prop_assert!(read <= bytes.len() / 4);
    }

    /// A body of some bytes cannot make the decoder set aside room for the elements it claims.
    #[test]
    fn a_claimed_length_without_bytes_is_refused(variant in 0_u8..5, claim in any::<u64>()) {
        let mut body = vec![0, variant];
        body.extend([7; 12]);
        body.push(253);
        body.extend(claim.to_le_bytes());
        let mut buf = BytesMut::new();
        buf.put_u32(body.len() as u32);
        buf.extend_from_slice(&body);
        let mut decoder = Decoder::default();
        decoder.extend(&buf.freeze());
        if let Ok(Some(frame)) = decoder.next_frame() {
            let mut again = BytesMut::new();
            encode(&frame, &mut again);
            prop_assert!(again.len() <= 4 + body.len() + 32, "{frame:?}");
        }
    }
}

#[test]
fn a_frame_over_the_limit_is_refused_before_its_body_arrives() {
    let mut decoder = Decoder::default();
    decoder.extend(&Bytes::copy_from_slice(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()));
    assert!(matches!(decoder.next_frame(), Err(FrameError::TooLong(_))));
}

#[test]
fn deep_nesting_is_refused() {
    let deep = "[".repeat(100_000);
    assert!(serde_json::from_str::<ObjectList>(&deep).is_err());
    assert!(ServiceSettings::parse(&format!("service = {deep}")).is_err());
    let tables = format!("service = {}", "{a=".repeat(50_000));
    assert!(ServiceSettings::parse(&tables).is_err());
}

#[test]
fn a_document_over_the_limit_is_refused() {
    let long = format!("# {}\n{DOCUMENT}", "x".repeat(2 * 1024 * 1024));
    assert!(ServiceSettings::parse(&long).is_err());
}
