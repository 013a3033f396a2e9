//! Fair shares of a service under overload.
//!
//! - [`Shares`] counts the service that each organisation has got, and says who is next.
//! - [`Queue`] holds the requests that wait for a replica of one service, in the order of the
//!   shares. It refuses those that would wait too long, and tells their callers when to return.
//!
//! Neither reads a clock or a random source. See docs/design/fair-shares.md.
//!
//! # Examples
//!
//! ```
//! use dogwoodlb_fair::{Arrival, Offer, Queue, Settings};
//! use dogwoodlb_types::Instant;
//!
//! let at = Instant::from_millis;
//! let mut queue = Queue::new(Settings::default());
//! let request = |organisation| Arrival {
//!     organisation: Some(organisation),
//!     route: "quotes",
//!     priority: 0,
//!     deadline: at(2_000),
//!     is_resumed: false,
//! };
//! // `birch` has more requests in the queue than its burst allowance covers (250 ms of slot time at
//! // 20 ms each) when the first one of `aspen` arrives.
//! for _ in 0..40 {
//!     queue.push(&request("birch"), at(0))?;
//! }
//! let aspen = queue.push(&request("aspen"), at(1))?.ticket;
//! let starts = (0..40).map(|_| queue.pop(at(2), |_| Offer::Taken).unwrap());
//! let before = starts.take_while(|started| started.ticket() != Some(aspen));
//! assert!(before.count() < 20);
//! # Ok::<(), dogwoodlb_fair::Refusal>(())
//! ```

mod ageing;
mod arrival;
mod backpressure;
mod pace;
mod queue;
mod returns;
mod shares;

pub use ageing::Ageing;
pub use arrival::{Arrival, End, Offer, Queued, Reason, Refusal, Started, Ticket};
pub use queue::{Queue, Settings};
pub use shares::{Rank, Shares, Weight};

/// One part in this many of the service goes to the work that has waited longest, whatever its
/// priority and its share. So no organisation and no kind of work is served less than a quarter as often as all, and
/// the wait of any work is bounded by four times that in the order of arrival.
pub const AGED_START_INTERVAL: u64 = 4;
