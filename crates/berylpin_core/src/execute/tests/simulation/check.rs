//! Invariants that hold at the end of every simulation.

use super::*;

impl Simulation {
    /// Checks all answers against the executions at the upstream, and that nothing is in progress.
    pub(in super::super) fn check(&mut self) {
        for issued in &self.keys {
            assert!(
                issued.runs.len() <= 1,
                "key {} ran more than once: {:?}",
                issued.key.id,
                issued.runs
            );
            for (body, answer) in &issued.answers {
                match answer {
                    Ok(execution) => {
                        assert_eq!(issued.runs, [body]);
                        assert_eq!(execution.result.as_bytes(), body);
                    }
                    Err(Refusal { verdict: Verdict::NotRun, .. }) => {
                        assert!(issued.runs.is_empty());
                    }
                    Err(Refusal { verdict: Verdict::Ran, .. }) => assert!(!issued.runs.is_empty()),
                    Err(_) => {}
                }
            }
        }
        self.check_resubmissions();
        for thread in self.daemons.iter().flat_map(|daemon| &daemon.threads) {
            assert_eq!(thread.forwarder.pending_count(), 0);
            assert_eq!(thread.holder.in_progress(), 0);
            assert_eq!(thread.runner.in_progress(), 0);
        }
    }

    /// Checks that resubmitting a key that ran returns its result, as long as the key is valid and
    /// the process that issued it runs.
    fn check_resubmissions(&mut self) {
        let is_valid = self.now < self.start + KEY_VALIDITY;
        let holder_runs = |k: &IssuedKey| self.daemons[k.holder.0].generation == k.holder.1;
        let succeeded = |k: &IssuedKey| k.answers.iter().any(|(_, answer)| answer.is_ok());
        let resubmitted: Vec<usize> = (0..self.keys.len())
            .filter(|k| is_valid && succeeded(&self.keys[*k]) && holder_runs(&self.keys[*k]))
            .collect();
        for key in resubmitted {
            let body = self.keys[key].runs[0].clone();
            self.submit(key, key % DAEMONS, 1000, body.clone());
            self.run_until(self.now + Duration::from_secs(2));
            let (_, answer) = self.keys[key].answers.last().unwrap();
            assert_eq!(answer.as_ref().unwrap().result.as_bytes(), body);
        }
    }

    /// Returns the number of keys that ran once and whose answers all carry a result.
    pub(in super::super) fn succeeded_count(&self) -> usize {
        self.keys
            .iter()
            .filter(|k| k.runs.len() == 1 && k.answers.iter().all(|(_, answer)| answer.is_ok()))
            .count()
    }
}
