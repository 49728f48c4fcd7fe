//! Conversion between the loads of targets and their messages.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::gateway::loads::{LoadMessage, LoadsRequest, LoadsResponse};
use dahliawood_steer::placement::exchange::entry::LoadEntry;
use dahliawood_steer::placement::exchange::log::LogCursor;
use dahliawood_steer::placement::exchange::participant::{LoadAnswer, LoadCall};
use std::time::Duration;

/// Units of a message's pace for work that takes as long as usual.
const USUAL_PACE: f32 = 100.0;

/// The message of a call.
pub fn request(call: &LoadCall) -> LoadsRequest {
    LoadsRequest {
        caller: call.caller,
        is_collector: call.is_collector,
        incarnation: call.cursor.life,
        position: call.cursor.position,
        clock: call.clock.as_micros(),
        entries: call.entries.iter().map(encode).collect(),
    }
}

/// The call of a message.
pub fn call(request: &LoadsRequest) -> LoadCall {
    LoadCall {
        caller: request.caller,
        is_collector: request.is_collector,
        cursor: LogCursor {
            life: request.incarnation,
            position: request.position,
        },
        clock: TimeStamp::from_micros(request.clock),
        entries: request.entries.iter().map(decode).collect(),
    }
}

/// The message of an answer.
pub fn response(answer: &LoadAnswer) -> LoadsResponse {
    LoadsResponse {
        is_serving: true,
        incarnation: answer.cursor.life,
        position: answer.cursor.position,
        clock: answer.clock.as_micros(),
        entries: answer.entries.iter().map(encode).collect(),
    }
}

/// The answer of a message.
pub fn answer(response: &LoadsResponse) -> LoadAnswer {
    LoadAnswer {
        cursor: LogCursor {
            life: response.incarnation,
            position: response.position,
        },
        clock: TimeStamp::from_micros(response.clock),
        entries: response.entries.iter().map(decode).collect(),
    }
}

fn encode(entry: &LoadEntry) -> LoadMessage {
    // Rounded up: an age must not become less than it is.
    let age_millis = entry.age.as_micros().div_ceil(1_000);
    LoadMessage {
        process: entry.process,
        running: entry.running,
        slots: entry.slots,
        waiting: entry.waiting,
        age_millis: u16::try_from(age_millis).unwrap_or(u16::MAX),
        pace: entry.pace.map_or(0, encode_pace),
    }
}

/// The pace in hundredths; zero would mean that the target did not state one.
fn encode_pace(pace: f32) -> u16 {
    let hundredths = (pace * USUAL_PACE).round();
    hundredths.clamp(1.0, f32::from(u16::MAX)) as u16
}

fn decode(message: &LoadMessage) -> LoadEntry {
    LoadEntry {
        process: message.process,
        running: message.running,
        slots: message.slots,
        waiting: message.waiting,
        pace: (message.pace > 0).then(|| f32::from(message.pace) / USUAL_PACE),
        // The largest value stands for any longer time.
        age: match message.age_millis {
            u16::MAX => Duration::MAX,
            millis => Duration::from_millis(millis.into()),
        },
    }
}
