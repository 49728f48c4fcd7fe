//! Forecast of the demand for one limit at one VM.

use crate::amount;
use dahliawood_model::stamp;
use std::time::Duration;

/// The span over which demand is summed before the sum enters the average.
const WINDOW: Duration = Duration::from_millis(100);
/// The newest window contributes one part in this many to the average.
const SMOOTHING_DIVISOR: u64 = 4;
/// The number of idle windows after which the average is as good as zero; later ones are skipped.
const MAX_WINDOWS: u64 = 64;

/// A moving average of the demand for one limit at one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandForecast {
    average: u64,
    current: u64,
    window_start: stamp::TimeStamp,
}

impl DemandForecast {
    /// Records demand, whether or not the request was admitted.
    pub fn record(&mut self, amount: amount::TokenAmount, now: stamp::TimeStamp) {
        self.advance(now);
        self.current = self.current.saturating_add(amount.micros);
    }

    /// Adds the windows that ended by `now` to the average.
    pub fn advance(&mut self, now: stamp::TimeStamp) {
        let window = WINDOW.as_micros() as u64;
        let ended = now
            .as_micros()
            .saturating_sub(self.window_start.as_micros())
            / window;
        for _ in 0..ended.min(MAX_WINDOWS) {
            self.average -= self.average.div_ceil(SMOOTHING_DIVISOR);
            self.average += self.current / SMOOTHING_DIVISOR;
            self.current = 0;
        }
        self.window_start = self
            .window_start
            .after(WINDOW * ended.min(u64::from(u32::MAX)) as u32);
    }

    /// The demand expected over `span`.
    pub fn expected(&self, span: Duration) -> amount::TokenAmount {
        let expected = u128::from(self.average) * span.as_micros() / WINDOW.as_micros();
        amount::TokenAmount::from_micros(u64::try_from(expected).unwrap_or(u64::MAX))
    }
}
