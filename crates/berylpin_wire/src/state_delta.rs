//! Exchange of control state between daemons.
//!
//! A message is two frames. The first has the layout of builds that know no eras of the store, which
//! ignore the second; a message without the second comes from such a build and is of the first era.

use crate::frame::{Decoder, FrameError, encode_value};
use berylpin_core::direct::{
    Configuration, DaemonEntry, ReplicaEntry, StateDelta, StateRevisions, StoreEra, StorePosition,
};
use bytes::BytesMut;
use serde::{Deserialize, Serialize};

/// The positions of a daemon's state, without eras.
#[derive(Serialize, Deserialize)]
struct RevisionsFrame {
    version: Option<u64>,
    replicas: Option<u64>,
    daemons: Option<u64>,
}

/// The eras of positions, and the newest era that the sender knows.
#[derive(Default, Serialize, Deserialize)]
struct ErasFrame {
    replicas: StoreEra,
    daemons: StoreEra,
    newest: StoreEra,
}

/// The state that a daemon lacks, without eras and sequences.
#[derive(Serialize, Deserialize)]
struct DeltaFrame {
    configuration: Option<Configuration>,
    replicas: Option<(u64, Vec<ReplicaEntry>)>,
    daemons: Option<(u64, Vec<DaemonEntry>)>,
}

/// What belongs to a [`DeltaFrame`] and is not in it.
#[derive(Default, Serialize, Deserialize)]
struct DeltaErasFrame {
    eras: ErasFrame,
    /// The sequences of the replicas' entries, in their order.
    sequences: Vec<u64>,
}

/// Appends a request for the state that is newer than these positions.
pub fn encode_revisions(revisions: &StateRevisions, buf: &mut BytesMut) {
    let StateRevisions { version, replicas, daemons, era } = *revisions;
    let revision = |position: Option<StorePosition>| position.map(|p| p.revision);
    let frame =
        RevisionsFrame { version, replicas: revision(replicas), daemons: revision(daemons) };
    encode_value(&frame, buf);
    encode_value(&ErasFrame::new(replicas, daemons, era), buf);
}

/// Returns the request in `decoder`; `None` if it has not been received completely.
///
/// # Errors
///
/// Returns an error if the bytes are not a request.
pub fn decode_revisions(decoder: &mut Decoder) -> Result<Option<StateRevisions>, FrameError> {
    let Some(RevisionsFrame { version, replicas, daemons }) = decoder.next_value()? else {
        return Ok(None);
    };
    let eras: ErasFrame = decoder.next_value()?.unwrap_or_default();
    Ok(Some(StateRevisions {
        version,
        replicas: replicas.map(|revision| StorePosition { era: eras.replicas, revision }),
        daemons: daemons.map(|revision| StorePosition { era: eras.daemons, revision }),
        era: eras.newest,
    }))
}

/// Appends the state that a daemon lacks.
pub fn encode_delta(delta: StateDelta, buf: &mut BytesMut) {
    let StateDelta { configuration, replicas, daemons, era } = delta;
    let (replicas_at, daemons_at) =
        (replicas.as_ref().map(|(at, _)| *at), daemons.as_ref().map(|(at, _)| *at));
    let entries = replicas.iter().flat_map(|(_, entries)| entries);
    let sequences = entries.map(|entry| entry.sequence).collect();
    let frame = DeltaFrame {
        configuration,
        replicas: replicas.map(|(at, entries)| (at.revision, entries)),
        daemons: daemons.map(|(at, entries)| (at.revision, entries)),
    };
    encode_value(&frame, buf);
    let eras = ErasFrame::new(replicas_at, daemons_at, era);
    encode_value(&DeltaErasFrame { eras, sequences }, buf);
}

/// Returns the state in `decoder`; `None` if it has not been received completely.
///
/// # Errors
///
/// Returns an error if the bytes are not such a message.
pub fn decode_delta(decoder: &mut Decoder) -> Result<Option<StateDelta>, FrameError> {
    let Some(frame) = decoder.next_value()? else { return Ok(None) };
    let DeltaFrame { configuration, mut replicas, daemons } = frame;
    let DeltaErasFrame { eras, sequences } = decoder.next_value()?.unwrap_or_default();
    let entries = replicas.iter_mut().flat_map(|(_, entries)| entries);
    entries.zip(sequences).for_each(|(entry, sequence)| entry.sequence = sequence);
    let position = |era, revision| StorePosition { era, revision };
    Ok(Some(StateDelta {
        configuration,
        replicas: replicas.map(|(at, entries)| (position(eras.replicas, at), entries)),
        daemons: daemons.map(|(at, entries)| (position(eras.daemons, at), entries)),
        era: eras.newest,
    }))
}

impl ErasFrame {
    fn new(
        replicas: Option<StorePosition>,
        daemons: Option<StorePosition>,
        newest: StoreEra,
    ) -> Self {
        let era = |position: Option<StorePosition>| position.unwrap_or_default().era;
        Self { replicas: era(replicas), daemons: era(daemons), newest }
    }
}

#[cfg(test)]
mod tests;
