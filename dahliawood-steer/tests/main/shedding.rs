//! Early refusal of a share of requests, by the queueing delay that answers report.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::shedding::ShedShare;
use std::time::Duration;

const START: TimeStamp = TimeStamp::from_millis(1_000_000);
const STEP: Duration = Duration::from_millis(100);

/// Refusals among `requests` that are spread over `steps`, while answers report `delay`.
fn refusals(share: &mut ShedShare, delay: f64, steps: u32, now: &mut TimeStamp) -> u32 {
    let mut refused = 0;
    for _ in 0..steps {
        *now = now.after(STEP);
        share.advance(*now);
        for _ in 0..10 {
            refused += u32::from(share.take_refusal());
            share.record_delay(delay);
        }
    }
    refused
}

#[test]
fn nothing_is_refused_while_answers_are_in_time() {
    let mut share = ShedShare::default();
    let mut now = START;
    assert_eq!(refusals(&mut share, 0.9, 600, &mut now), 0);
}

#[test]
fn a_short_peak_refuses_little() {
    let mut share = ShedShare::default();
    let mut now = START;
    refusals(&mut share, 0.2, 50, &mut now);
    let refused = refusals(&mut share, 3.0, 3, &mut now) + refusals(&mut share, 0.2, 50, &mut now);
    assert!(refused <= 5, "{refused} of 530");
}

#[test]
fn a_lasting_queue_is_shortened_and_refusals_end_with_it() {
    let mut share = ShedShare::default();
    let mut now = START;
    refusals(&mut share, 2.0, 100, &mut now);
    assert!(share.share() > 0.1, "{}", share.share());
    refusals(&mut share, 0.5, 100, &mut now);
    assert_eq!(refusals(&mut share, 0.5, 10, &mut now), 0);
}

#[test]
fn without_answers_requests_are_tried_again() {
    let mut share = ShedShare::default();
    let mut now = START;
    refusals(&mut share, 4.0, 200, &mut now);
    assert!(share.share() <= 0.8);
    // The answers of the last step count once more.
    share.advance(now.after(STEP));
    share.advance(now.after(Duration::from_secs(10)));
    assert!(share.share() < 0.05, "{}", share.share());
}
