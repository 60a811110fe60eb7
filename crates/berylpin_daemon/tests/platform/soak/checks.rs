//! What callers received, checked against what replicas ran.

use super::{Harness, RequestRecord, SHARDS};
use berylpin_platform_standin::{Outcome, RequestKind};
use std::collections::BTreeMap;

impl Harness {
    /// Checks what callers received against what replicas ran; counts the requests by result.
    pub(super) fn check_records(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for RequestRecord { id, kind, outcome } in self.records.borrow().iter() {
            let runs = self.run_log.runs(id);
            let seed = self.seed;
            if *kind == RequestKind::Charge {
                assert!(runs.len() <= 1, "seed {seed}: {id} ran twice: {runs:?}");
                let false_refusal = *outcome == Outcome::RefusedNotRun && !runs.is_empty();
                assert!(!false_refusal, "seed {seed}: {id} was refused as not run: {runs:?}");
            }
            let mut replicas: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
            for (service, replica) in &runs {
                let service_replicas = replicas.entry(service).or_default();
                if !service_replicas.contains(&replica.as_str()) {
                    service_replicas.push(replica);
                }
            }
            assert!(
                replicas.values().all(|distinct| distinct.len() <= 2),
                "seed {seed}: {id} ran at more than two replicas of a service: {replicas:?}"
            );
            let result = match outcome {
                Outcome::Answered(parts) => {
                    if *kind == RequestKind::Query {
                        self.check_coverage(id, parts);
                    }
                    "answered"
                }
                Outcome::RefusedNotRun => "refused",
                Outcome::ErrorStatus(_) | Outcome::Failed => "failed",
                Outcome::Invalid(reason) => panic!("seed {seed}: {reason}"),
            };
            *counts.entry(result).or_default() += 1;
        }
        counts
    }

    /// Checks that the services of an answer are of one version and that, with the missing ones,
    /// they account for all shards.
    fn check_coverage(&self, id: &str, parts: &[String]) {
        let (missing, services) = parts.split_last().unwrap();
        let missing: usize = missing.strip_prefix("missing ").unwrap().parse().unwrap();
        let one_version = ["a", "b"].iter().any(|set| services.iter().all(|s| s.starts_with(set)));
        assert!(one_version, "seed {}: {id} mixes versions: {services:?}", self.seed);
        assert_eq!(services.len() + missing, SHARDS, "seed {}: parts of {id}", self.seed);
    }
}
