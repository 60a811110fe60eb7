//! What has to hold at the end of every schedule.

use super::*;

impl Simulation {
    /// Checks all answers against the record of the upstream.
    pub(in super::super) fn check(&mut self) {
        for issued in &self.keys {
            assert!(issued.runs.len() <= 1, "{} ran {:?}", issued.key.id, issued.runs);
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
        self.check_resends();
        for thread in self.daemons.iter().flat_map(|daemon| &daemon.threads) {
            assert_eq!(thread.forwarder.pending_count(), 0);
            assert_eq!(thread.holder.in_progress(), 0);
            assert_eq!(thread.runner.in_progress(), 0);
        }
    }

    /// Checks that a key that ran keeps its result while its holder lives and its window lasts.
    fn check_resends(&mut self) {
        let in_window = self.now < self.start + KEY_VALIDITY;
        let lives = |k: &Issued| self.daemons[k.holder.0].generation == k.holder.1;
        let succeeded = |k: &Issued| k.answers.iter().any(|(_, answer)| answer.is_ok());
        let kept: Vec<usize> = (0..self.keys.len())
            .filter(|k| in_window && succeeded(&self.keys[*k]) && lives(&self.keys[*k]))
            .collect();
        for key in kept {
            let body = self.keys[key].runs[0].clone();
            self.send(key, key % DAEMONS, 1000, body.clone());
            self.run_until(self.now + Duration::from_secs(2));
            let (_, answer) = self.keys[key].answers.last().unwrap();
            assert_eq!(answer.as_ref().unwrap().result.as_bytes(), body);
        }
    }

    pub(in super::super) fn succeeded(&self) -> usize {
        self.keys
            .iter()
            .filter(|k| k.runs.len() == 1 && k.answers.iter().all(|(_, answer)| answer.is_ok()))
            .count()
    }
}
