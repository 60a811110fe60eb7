//! Restores of the store from a copy: calls from before one are abandoned.

use super::Control;
use crate::metrics::STORE_RESTORES;
use berylpin_core::direct::{AnswerUse, EraChange, StoreEra, StorePosition};
use berylpin_platform::{Answer, StoreError};
use metrics::counter;
use slog::{info, warn};
use std::time::Duration;

/// How long after a restore only the newest data is read: other data may be seconds old, and from
/// before it.
const FRESH_READS_TIME: Duration = Duration::from_secs(10);

impl Control {
    /// Makes a call for the changes after `since`, or for a list; returns what it returns, with the
    /// store's era.
    ///
    /// Abandons the call when another answer shows that the store was restored meanwhile: the answer
    /// may be from before it, or its connection may have gone silent.
    ///
    /// # Errors
    ///
    /// Returns the error of the call, or an error if the answer does not continue the state at
    /// `since` or is from before the newest known restore. `EraChanged` shows neither an answer nor a
    /// failure of the store.
    pub(super) async fn call_store<T, F>(
        &self,
        since: Option<StorePosition>,
        call: F,
    ) -> Result<(StoreEra, T), StoreError>
    where
        F: Future<Output = Answer<T>>,
    {
        let mut restores = self.restores.subscribe();
        let known = self.catalogue.borrow().era();
        let answer = tokio::select! {
            biased;
            answer = call => answer,
            _ = restores.changed() => return Err(StoreError::EraChanged),
        };
        self.observe_answer(&answer);
        self.judge_answer(answer, known, since)
    }

    /// Returns the result of an answer if it may be applied; `known` is the known era at the start of
    /// the call, to which an answer without an era belongs.
    fn judge_answer<T>(
        &self,
        answer: Answer<T>,
        known: StoreEra,
        since: Option<StorePosition>,
    ) -> Result<(StoreEra, T), StoreError> {
        let era = answer.era.unwrap_or(known);
        let answer_use = self.catalogue.borrow().judge_answer(era, since);
        match (answer_use, answer.result) {
            (AnswerUse::ListAnew, Ok(_) | Err(StoreError::RevisionCompacted)) => {
                Err(StoreError::EraChanged)
            }
            (_, Err(e)) => Err(e),
            (_, Ok(result)) if answer_use == AnswerUse::Apply => Ok((era, result)),
            (_, Ok(_)) => Err(StoreError::OlderEra),
        }
    }

    /// Records the era that an answer names.
    pub(super) fn observe_answer<T>(&self, answer: &Answer<T>) {
        if let Some(era) = answer.era {
            self.observe_era(era);
        }
    }

    /// Records the era that a peer names; the lowest shows nothing, since peers send it if they know
    /// none.
    pub(super) fn observe_peer_era(&self, era: StoreEra) {
        if era > StoreEra::default() {
            self.observe_era(era);
        }
    }

    fn observe_era(&self, era: StoreEra) {
        let change = self.catalogue.borrow_mut().observe_era(era, self.now());
        match change {
            EraChange::None => {}
            EraChange::First => info!(self.shared.log, "control: store era known"; "era" => era.0),
            EraChange::Restored(before) => {
                warn!(self.shared.log, "control: store restored from a copy";
                    "era" => era.0, "previous_era" => before.0);
                counter!(STORE_RESTORES).increment(1);
                self.read_fresh();
                self.configuration_position.set(None);
                self.restores.send_replace(era);
            }
        }
    }

    /// Reads only the newest data for a while.
    pub(super) fn read_fresh(&self) {
        self.fresh_until.set(Some(self.now() + FRESH_READS_TIME));
    }

    /// Returns whether only the newest data may be read.
    pub(super) fn reads_fresh(&self) -> bool {
        self.fresh_until.get().is_some_and(|until| self.now() < until)
    }

    /// Sleeps, but not longer than until the store is restored from a copy.
    pub(super) async fn sleep_unless_restored(&self, duration: Duration) {
        let mut restores = self.restores.subscribe();
        tokio::select! {
            () = tokio::time::sleep(duration) => {}
            _ = restores.changed() => {}
        }
    }
}
