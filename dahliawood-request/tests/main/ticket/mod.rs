//! Tickets over generated histories, checked against a target's log of all runs.

use crate::support;
use dahliawood_model::stamp;
use dahliawood_request::journal;
use dahliawood_request::ticket::{self, issuer, outcome, status, table};
use dahliawood_request::verdict::RunVerdict;
use proptest::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

const VMS: usize = 3;
const CUSTOMERS: [&str; 2] = ["amber", "birch"];
const TICKET_LIFETIME: Duration = Duration::from_secs(10);

/// One step of a history; indexes are taken modulo the number of items.
#[derive(Clone, Debug)]
enum Step {
    Issue {
        vm: usize,
        customer: usize,
    },
    Send {
        ticket: usize,
        via: usize,
        customer: usize,
        body: u8,
    },
    Finish {
        run: usize,
        ending: Ending,
    },
    Kill {
        vm: usize,
    },
    AdvanceTime {
        millis: u64,
    },
    Journal {
        vm: usize,
        lost: bool,
    },
    Query {
        ticket: usize,
        customer: usize,
    },
}

/// How a dispatch ends, and whether the target ran it.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Answered,
    Unsent,
    CutAfterRun,
    CutBeforeRun,
}

struct Vm {
    own: ticket::VmIncarnation,
    tickets: table::TicketTable,
    journal: journal::OutcomeJournal,
}

struct Dispatch {
    vm: usize,
    own: ticket::VmIncarnation,
    ticket: ticket::RequestTicket,
    customer: usize,
}

struct Fleet {
    now: stamp::TimeStamp,
    vms: Vec<Vm>,
    issued: Vec<(ticket::RequestTicket, usize)>,
    dispatches: Vec<Dispatch>,
    runs: HashMap<(ticket::VmIncarnation, u64), u32>,
    store: HashMap<(ticket::VmIncarnation, u64), journal::JournalEntry>,
}

fn vm(index: usize, incarnation: u64) -> Vm {
    let own = ticket::VmIncarnation {
        address: SocketAddr::from(([127, 0, 0, 1], 8000 + index as u16)),
        incarnation,
    };
    let secret = [incarnation as u8 ^ (index as u8) << 4; issuer::SECRET_BYTES];
    let options = table::TableOptions {
        max_records: 6,
        max_customer_records: 4,
        max_answer_bytes: 8,
        max_bytes: 16,
        keep: Duration::from_secs(5),
    };
    Vm {
        own,
        tickets: table::TicketTable::new(issuer::TicketIssuer::new(own, secret), options),
        journal: journal::OutcomeJournal::new(journal::JournalOptions::default()),
    }
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: stamp::TimeStamp::from_millis(1),
            vms: (0..VMS).map(|index| vm(index, 1)).collect(),
            issued: Vec::new(),
            dispatches: Vec::new(),
            runs: HashMap::new(),
            store: HashMap::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Issue { vm, customer } => {
                let tickets = &mut self.vms[vm].tickets;
                let ticket = tickets.issue(CUSTOMERS[customer], TICKET_LIFETIME, self.now);
                self.issued.push((ticket, customer));
            }
            Step::Send {
                ticket,
                via,
                customer,
                body,
            } => {
                if let Some((ticket, _)) = pick(&self.issued, ticket) {
                    self.send(ticket, via, customer, body)?;
                }
            }
            Step::Finish { run, ending } if !self.dispatches.is_empty() => {
                let dispatch = self.dispatches.swap_remove(run % self.dispatches.len());
                self.finish(&dispatch, ending);
            }
            Step::Finish { .. } => {}
            Step::Kill { vm: index } => {
                let next = self.vms[index].own.incarnation + 1;
                self.vms[index] = vm(index, next);
            }
            Step::AdvanceTime { millis } => {
                self.now = self.now.after(Duration::from_millis(millis));
                let now = self.now;
                self.vms.iter_mut().for_each(|vm| vm.tickets.sweep(now));
            }
            Step::Journal { vm, lost } => self.write_journal(vm, lost),
            Step::Query { ticket, customer } => {
                if let Some((ticket, owner)) = pick(&self.issued, ticket) {
                    self.query(ticket, owner, customer)?;
                }
            }
        }
        self.check()
    }

    fn route(&self, ticket: &ticket::RequestTicket, via: usize) -> Option<usize> {
        let presence = |holder: ticket::VmIncarnation| {
            if self.vms.iter().any(|vm| vm.own == holder) {
                ticket::HolderPresence::Possible
            } else {
                ticket::HolderPresence::Gone
            }
        };
        match ticket::route(ticket, self.vms[via].own, presence) {
            ticket::TicketRoute::Here => Some(via),
            ticket::TicketRoute::Forward(address) => {
                self.vms.iter().position(|vm| vm.own.address == address)
            }
            ticket::TicketRoute::Journal => None,
        }
    }

    fn send(
        &mut self,
        ticket: ticket::RequestTicket,
        via: usize,
        customer: usize,
        body: u8,
    ) -> Result<(), TestCaseError> {
        let Some(holder) = self.route(&ticket, via) else {
            return Ok(());
        };
        let digest = outcome::RequestDigest::new("POST", "/filings", &[body]);
        let name = CUSTOMERS[customer];
        let vm = &mut self.vms[holder];
        let admission = vm.tickets.begin(&ticket, name, digest, self.now);
        match admission {
            table::TicketAdmission::Run => {
                let own = vm.own;
                self.dispatches.push(Dispatch {
                    vm: holder,
                    own,
                    ticket,
                    customer,
                });
            }
            table::TicketAdmission::Repeat(outcome) => {
                self.check_verdict(&ticket, outcome.verdict())?;
            }
            table::TicketAdmission::Wait | table::TicketAdmission::Refuse(_) => {}
        }
        Ok(())
    }

    fn finish(&mut self, dispatch: &Dispatch, ending: Ending) {
        let outcome = match ending {
            Ending::Answered => outcome::TicketOutcome::Answered(outcome::KeptAnswer {
                status: 201,
                headers: Vec::new(),
                body: vec![0; (dispatch.ticket.serial % 12) as usize],
            }),
            Ending::Unsent => failed(RunVerdict::NotRun),
            Ending::CutAfterRun | Ending::CutBeforeRun => failed(RunVerdict::MayHaveRun),
        };
        if matches!(ending, Ending::Answered | Ending::CutAfterRun) {
            *self.runs.entry(key(&dispatch.ticket)).or_default() += 1;
        }
        let vm = &mut self.vms[dispatch.vm];
        if vm.own != dispatch.own {
            return;
        }
        let stored_outcome = vm.tickets.finish(&dispatch.ticket, outcome, self.now);
        if let Some(outcome) = stored_outcome {
            vm.journal.add(journal::JournalEntry {
                serial: dispatch.ticket.serial,
                customer: CUSTOMERS[dispatch.customer].to_owned(),
                outcome,
            });
        }
    }

    fn write_journal(&mut self, vm: usize, lost: bool) {
        let vm = &mut self.vms[vm];
        let Some(batch) = vm.journal.next_write(self.now) else {
            return;
        };
        for entry in &batch.entries {
            self.store.insert((vm.own, entry.serial), entry.clone());
        }
        if !lost {
            vm.journal.written(batch.sequence);
        }
    }

    fn query(
        &self,
        ticket: ticket::RequestTicket,
        owner: usize,
        customer: usize,
    ) -> Result<(), TestCaseError> {
        let asker = status::TicketAsker::Customer(CUSTOMERS[customer]);
        let report = match self.route(&ticket, 0) {
            Some(holder) => self.vms[holder].tickets.report(&ticket, asker, self.now),
            None => journal::report(self.store.get(&key(&ticket)), asker),
        };
        if owner != customer && report.known_by != status::KnownBy::HolderGone {
            prop_assert_eq!(report.state, status::TicketState::Unknown);
            return Ok(());
        }
        self.check_verdict(&ticket, report.ran)
    }

    fn check_verdict(
        &self,
        ticket: &ticket::RequestTicket,
        verdict: RunVerdict,
    ) -> Result<(), TestCaseError> {
        let runs = self.runs.get(&key(ticket)).copied().unwrap_or_default();
        match verdict {
            RunVerdict::NotRun => prop_assert_eq!(runs, 0, "a false not-run"),
            RunVerdict::Ran => prop_assert_eq!(runs, 1, "a false ran"),
            RunVerdict::MayHaveRun => {}
        }
        Ok(())
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.runs.values().all(|runs| *runs <= 1), "run twice");
        for vm in &self.vms {
            prop_assert!(vm.tickets.len() <= 6);
            prop_assert!(vm.tickets.stored_bytes() <= 16);
        }
        Ok(())
    }
}

fn failed(verdict: RunVerdict) -> outcome::TicketOutcome {
    outcome::TicketOutcome::Failed { verdict }
}

fn key(ticket: &ticket::RequestTicket) -> (ticket::VmIncarnation, u64) {
    (ticket.holder, ticket.serial)
}

fn pick(
    issued: &[(ticket::RequestTicket, usize)],
    index: usize,
) -> Option<(ticket::RequestTicket, usize)> {
    (!issued.is_empty()).then(|| issued[index % issued.len()])
}

fn any_step() -> impl Strategy<Value = Step> {
    let ending = prop_oneof![
        Just(Ending::Answered),
        Just(Ending::Unsent),
        Just(Ending::CutAfterRun),
        Just(Ending::CutBeforeRun),
    ];
    let customer = || 0..CUSTOMERS.len();
    prop_oneof![
        2 => (0..VMS, customer()).prop_map(|(vm, customer)| Step::Issue { vm, customer }),
        6 => (any::<usize>(), 0..VMS, customer(), 0..2_u8).prop_map(
            |(ticket, via, customer, body)| Step::Send { ticket, via, customer, body }
        ),
        4 => (any::<usize>(), ending).prop_map(|(run, ending)| Step::Finish { run, ending }),
        1 => (0..VMS).prop_map(|vm| Step::Kill { vm }),
        2 => (0..4_000_u64).prop_map(|millis| Step::AdvanceTime { millis }),
        2 => (0..VMS, any::<bool>()).prop_map(|(vm, lost)| Step::Journal { vm, lost }),
        3 => (any::<usize>(), customer())
            .prop_map(|(ticket, customer)| Step::Query { ticket, customer }),
    ]
}

proptest! {
    #![proptest_config(support::property_config(1_000))]

    #[test]
    fn a_ticket_runs_at_most_once_and_its_verdicts_are_true(
        history in prop::collection::vec(any_step(), 1..120),
    ) {
        let mut fleet = Fleet::new();
        for step in &history {
            fleet.step(step)?;
        }
    }

    #[test]
    fn a_ticket_round_trips_through_its_text_form(
        port in any::<u16>(),
        v6 in any::<bool>(),
        incarnation in any::<u64>(),
        serial in any::<u64>(),
        not_after in any::<u64>(),
        code in any::<[u8; ticket::CODE_BYTES]>(),
    ) {
        let address = if v6 {
            SocketAddr::from(([0x2001, 0xdb8, 0, 0, 0, 0, 0, 1], port))
        } else {
            SocketAddr::from(([192, 0, 2, 1], port))
        };
        let ticket = ticket::RequestTicket {
            holder: ticket::VmIncarnation { address, incarnation },
            not_after: stamp::TimeStamp::from_micros(not_after),
            serial,
            code,
        };
        prop_assert_eq!(ticket.to_string().parse(), Ok(ticket));
        let quoted = format!("\"{ticket}\"");
        prop_assert_eq!(ticket::RequestTicket::from_field(&quoted), Ok(ticket));
    }

    #[test]
    fn parsing_any_text_does_not_panic(text in "(dw1-)?[0-9a-f-]{0,120}") {
        let _ = text.parse::<ticket::RequestTicket>();
    }
}

#[test]
fn a_journal_stays_within_its_limits_during_an_outage() {
    let options = journal::JournalOptions {
        max_pending: 3,
        max_batch_entries: 2,
        ..journal::JournalOptions::default()
    };
    let mut journal = journal::OutcomeJournal::new(options);
    for serial in 0..5 {
        journal.add(journal::JournalEntry {
            serial,
            customer: "amber".to_owned(),
            outcome: failed(RunVerdict::MayHaveRun),
        });
    }
    assert_eq!((journal.unwritten(), journal.dropped()), (3, 2));
    let mut now = stamp::TimeStamp::ZERO;
    let first = journal.next_write(now).unwrap();
    assert_eq!(
        journal.next_write(now),
        None,
        "no write before the budget allows one"
    );
    now = now.after(options.interval);
    assert_eq!(
        journal.next_write(now),
        Some(first.clone()),
        "the unconfirmed batch again"
    );
    journal.written(first.sequence);
    now = now.after(options.interval);
    let second = journal.next_write(now).unwrap();
    journal.written(second.sequence);
    assert_eq!((second.entries.len(), journal.unwritten()), (1, 0));
}

#[test]
fn all_vms_share_one_write_budget() {
    assert_eq!(journal::interval(11, 50), Duration::from_millis(220));
    assert_eq!(journal::interval(920, 50), Duration::from_millis(18_400));
}

#[test]
fn batch_keys_sort_in_order_of_writing() {
    let holder = vm(0, 7).own;
    let keys: Vec<_> = [9, 10, 300]
        .map(|sequence| journal::JournalBatch {
            sequence,
            entries: Vec::new(),
        })
        .iter()
        .map(|batch| batch.key(holder))
        .collect();
    assert!(keys.is_sorted());
    assert!(keys[0].starts_with(&journal::key_prefix(holder)));
}
