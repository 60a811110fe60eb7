//! Time to encode and decode the sub-queries of one query, by their number.

use berylpin_core::arena::Slab;
use berylpin_core::ids::{Key, QueryTag, ReplicaTag, Snapshot, ThreadId};
use berylpin_core::message::{
    AttemptId, Batch, Hint, Outcome, QueryMessage, Row, SubQuery, SubQueryReply,
};
use berylpin_core::rank::Rank;
use berylpin_wire::frame::{Decoder, Frame, encode};
use bytes::{Bytes, BytesMut};
use divan::Bencher;
use divan::counter::ItemsCount;
use std::time::Duration;

/// Numbers of sub-queries of one query that one owner receives.
const SUB_QUERIES: [u32; 4] = [1, 4, 20, 100];

fn main() {
    for count in SUB_QUERIES {
        let batch = encoded(&batch(count)).len();
        let reply = encoded(&reply(0)).len();
        println!("{count} sub-queries: batch {batch} bytes, reply {reply} bytes each");
    }
    divan::main();
}

fn attempt(position: u32) -> AttemptId {
    let query = Slab::default().insert(());
    let tag = QueryTag(0x0123_4567_89ab_cdef);
    AttemptId { thread: ThreadId::from_index(1), query, tag, position, ordinal: 0 }
}

fn tag(position: u32) -> ReplicaTag {
    ReplicaTag::of(["quota-desk", &position.to_string()])
}

fn batch(count: u32) -> Frame {
    let sub_queries = (0..count).map(|p| SubQuery { attempt: attempt(p), replica: tag(p) });
    Frame::Query(QueryMessage::Batch(Batch {
        query: QueryTag(0x1234_5678_9abc_def0),
        rank: Rank::Urgent,
        time_left: Duration::from_millis(250),
        snapshot: Snapshot(1000),
        body: Bytes::from_static(b"account-1234"),
        sub_queries: sub_queries.collect(),
    }))
}

fn reply(position: u32) -> Frame {
    let row = Row { key: "account-1234/01".to_owned(), value: "balance at 1000".to_owned() };
    Frame::Query(QueryMessage::Reply(SubQueryReply {
        attempt: attempt(position),
        replica: tag(position),
        outcome: Outcome::Rows { snapshot: Snapshot(1000), rows: vec![row] },
        hint: Hint::default(),
    }))
}

fn encoded(frame: &Frame) -> BytesMut {
    let mut buf = BytesMut::new();
    encode(frame, &mut buf);
    buf
}

fn decode(bytes: &Bytes) -> usize {
    let mut decoder = Decoder::default();
    decoder.extend(bytes);
    std::iter::from_fn(|| decoder.next_frame().ok().flatten()).count()
}

#[divan::bench(args = SUB_QUERIES)]
fn encode_batch(bencher: Bencher<'_, '_>, count: u32) {
    let frame = batch(count);
    bencher.counter(ItemsCount::new(count)).bench(|| encoded(&frame));
}

#[divan::bench(args = SUB_QUERIES)]
fn decode_batch(bencher: Bencher<'_, '_>, count: u32) {
    let bytes = encoded(&batch(count)).freeze();
    bencher.counter(ItemsCount::new(count)).bench(|| decode(&bytes));
}

#[divan::bench(args = SUB_QUERIES)]
fn encode_replies(bencher: Bencher<'_, '_>, count: u32) {
    let frames: Vec<Frame> = (0..count).map(reply).collect();
    bencher.counter(ItemsCount::new(count)).bench(|| {
        let mut buf = BytesMut::new();
        for frame in &frames {
            encode(frame, &mut buf);
        }
        buf
    });
}

#[divan::bench(args = SUB_QUERIES)]
fn decode_replies(bencher: Bencher<'_, '_>, count: u32) {
    let mut buf = BytesMut::new();
    for position in 0..count {
        encode(&reply(position), &mut buf);
    }
    let bytes = buf.freeze();
    bencher.counter(ItemsCount::new(count)).bench(|| decode(&bytes));
}
