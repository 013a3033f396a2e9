//! Who waits for the result of a call.

use dogwoodlb_http::{Responder, ResponseStream};
use std::cell::RefCell;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};

/// Waits for the result of a call to engines or services. A call whose waiter is gone sends nothing
/// more: it may have queued for long, and its result would be dropped.
pub(crate) trait Waiter: fmt::Debug {
    /// Returns whether no one waits any more.
    fn is_gone(&self) -> bool;
}

/// A flag that is set once the result is no longer wanted.
impl Waiter for AtomicBool {
    fn is_gone(&self) -> bool {
        self.load(Ordering::Relaxed)
    }
}

impl Waiter for Responder {
    fn is_gone(&self) -> bool {
        self.is_closed()
    }
}

/// A caller that gets the response as a stream, once there is a first event.
#[derive(Debug)]
pub(crate) struct StreamCaller {
    /// `None` once the response has begun.
    pub(crate) responder: RefCell<Option<Responder>>,
    pub(crate) stream: RefCell<Option<ResponseStream>>,
}

impl StreamCaller {
    pub(crate) fn new(responder: Responder) -> Self {
        Self {
            responder: RefCell::new(Some(responder)),
            stream: RefCell::new(None),
        }
    }
}

impl Waiter for StreamCaller {
    fn is_gone(&self) -> bool {
        let responder = self.responder.borrow();
        let stream = self.stream.borrow();
        responder.as_ref().is_some_and(Responder::is_closed)
            || stream.as_ref().is_some_and(ResponseStream::is_closed)
    }
}
