//! Share of streams that pause longer than their route allows, as this router relays them.
//!
//! How much prefill a target can do between two events of its streams depends on how many tokens an
//! event holds, which routers do not know. Where streams pause too long, the prefill is limited.

/// Weight of the latest stream in the share of streams with a long pause.
const STREAM_WEIGHT: f64 = 0.02;

/// Share of streams with a long pause from which prefill is limited, and below which it no longer
/// is. The limit refuses long prompts more often, so that a few late streams are no reason for it.
const LIMIT_RANGE: (f64, f64) = (0.08, 0.04);

/// Pauses of the shortest stream that counts: a stream of one or two events says little about the
/// others.
const MIN_PAUSES: u32 = 4;

/// Moving share of streams with a long pause.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamMonitor {
    late_share: f64,
    is_limiting: bool,
}

impl StreamMonitor {
    /// Records a complete stream with a number of pauses between its events; returns whether the
    /// prefill is limited from now on, if that changed.
    pub fn record_stream(&mut self, pauses: u32, has_long_pause: bool) -> Option<bool> {
        if pauses < MIN_PAUSES {
            return None;
        }
        let sample = if has_long_pause { 1.0 } else { 0.0 };
        self.late_share += STREAM_WEIGHT * (sample - self.late_share);
        let (start, end) = LIMIT_RANGE;
        let is_limiting = match self.is_limiting {
            true => self.late_share > end,
            false => self.late_share > start,
        };
        let has_changed = std::mem::replace(&mut self.is_limiting, is_limiting) != is_limiting;
        has_changed.then_some(is_limiting)
    }

    /// Returns whether prefill beside running streams is to be limited.
    pub fn is_limiting(&self) -> bool {
        self.is_limiting
    }

    /// Returns the share of streams with a long pause, from 0 to 1.
    pub fn late_share(&self) -> f64 {
        self.late_share
    }
}
