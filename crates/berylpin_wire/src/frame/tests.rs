use super::*;
use berylpin_core::ids::{Key, ReplicaTag, ThreadId};
use proptest::prelude::*;

fn hint_request(tags: &[u64]) -> Frame {
    let replicas = tags.iter().copied().map(ReplicaTag).collect();
    Frame::Query(QueryMessage::RequestHints { thread: ThreadId::from_index(1), replicas })
}

proptest! {
    #[test]
    fn frames_decode_after_any_split_of_the_stream(
        tags in prop::collection::vec(prop::collection::vec(any::<u64>(), 0..5), 0..5),
        chunk_size in 1_usize..40,
    ) {
        let frames: Vec<Frame> = tags.iter().map(|tags| hint_request(tags)).collect();
        let mut buf = BytesMut::new();
        for frame in &frames {
            encode(frame, &mut buf);
        }
        let mut decoder = Decoder::default();
        let mut decoded = Vec::new();
        for chunk in buf.chunks(chunk_size) {
            decoder.extend(&Bytes::copy_from_slice(chunk));
            while let Some(frame) = decoder.next_frame().unwrap() {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut decoder = Decoder::default();
        decoder.extend(&Bytes::from(bytes));
        while let Ok(Some(_)) = decoder.next_frame() {}
    }
}
