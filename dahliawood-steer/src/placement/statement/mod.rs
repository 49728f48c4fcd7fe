//! What processes of targets have stated, while no entry names them: entries are removed and written
//! again, and responses arrive after their target's entry is gone.

use crate::placement::record::TargetRecord;
use crate::placement::stated_limit::StatedLimit;
use dahliawood_model::FastMap;
use dahliawood_model::catalog::TargetReport;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Most processes that are remembered; those are forgotten first that were heard of longest ago.
const MAX_PROCESSES: usize = 4_096;
/// How long a process is remembered that no entry names. One that states its leaving ends sooner.
const MEMORY_TIME: Duration = Duration::from_secs(600);

/// What one process has stated.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessStatements {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// End of the pause that it asked for.
    pub asked_until: TimeStamp,
    /// Its limit.
    pub stated_limit: StatedLimit,
    heard_at: TimeStamp,
}

impl ProcessStatements {
    /// What the process of a target has stated.
    pub fn of(target: &TargetRecord, now: TimeStamp) -> Self {
        Self {
            is_leaving: target.is_leaving,
            asked_until: target.breaker.asked_until(),
            stated_limit: target.stated_limit,
            heard_at: now,
        }
    }

    fn record(&mut self, report: &TargetReport, now: TimeStamp) {
        self.is_leaving |= report.is_leaving;
        self.asked_until = self
            .asked_until
            .max(now.after(report.pause.unwrap_or_default()));
        self.stated_limit.set(report.limit, now);
        self.heard_at = now;
    }

    fn says_something(&self, now: TimeStamp) -> bool {
        self.is_leaving || self.asked_until > now || self.stated_limit.is_stated()
    }
}

/// The processes that no entry names, by their hashes.
#[derive(Clone, Debug, Default)]
pub struct StatementMemory {
    processes: FastMap<u64, ProcessStatements>,
}

impl StatementMemory {
    /// Remembers what a process has stated whose entry is removed.
    pub fn keep(&mut self, process: u64, statements: ProcessStatements, now: TimeStamp) {
        if !statements.says_something(now) {
            return;
        }
        self.make_room(now);
        self.processes.insert(process, statements);
    }

    /// Records a statement of a process that no entry names.
    pub fn record(&mut self, process: u64, report: &TargetReport, now: TimeStamp) {
        let mut statements = self.processes.remove(&process).unwrap_or_default();
        statements.record(report, now);
        self.keep(process, statements, now);
    }

    /// What a process has stated, which an entry names now.
    pub fn take(&mut self, process: u64) -> ProcessStatements {
        self.processes.remove(&process).unwrap_or_default()
    }

    fn make_room(&mut self, now: TimeStamp) {
        if self.processes.len() < MAX_PROCESSES {
            return;
        }
        self.processes.retain(|_, known| {
            known.says_something(now) && now.since(known.heard_at) < MEMORY_TIME
        });
        let oldest = self
            .processes
            .iter()
            .min_by_key(|(_, known)| known.heard_at);
        let oldest = oldest.map(|(process, _)| *process);
        if let Some(process) = oldest.filter(|_| self.processes.len() >= MAX_PROCESSES) {
            self.processes.remove(&process);
        }
    }
}
