//! Rate of requests.

use jackdaw_base::plain_data;

plain_data! {
    copy
    /// Rate of requests, in thousandths of a request a second.
    pub struct RequestRate(pub u32);
}

impl RequestRate {
    /// Converts a number of requests a second. Negative numbers become zero, and numbers over four
    /// million the largest rate.
    pub fn from_per_second(requests: f64) -> RequestRate {
        RequestRate((requests * 1000.0) as u32)
    }

    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}
