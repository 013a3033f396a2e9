//! Forwards idempotent requests: to another replica while the first has not answered yet.

use super::{Attempt, Forwarder, ProxiedRequest};
use crate::hedge::Step;
use crate::reply::Body;
use crate::routing::Selection;
use dogwoodlb_types::id;
use hyper::Response;
use std::rc::Rc;

impl Forwarder {
    /// Sends a request until a replica has a usable response. At most as many replicas get it as the
    /// route permits.
    pub(super) async fn run_hedged(&self, proxied: &ProxiedRequest<'_>) -> Response<Body> {
        let is_usable = |attempt: &Attempt| matches!(attempt, Attempt::Responded(_));
        let mut copies = self.routers.hedger.begin(&proxied.request_id, is_usable);
        let exchange = |selection: Rc<Selection>| async move {
            // The node cancels the copies at the deadline.
            self.exchange(proxied, &selection).await
        };
        let mut tried: Vec<id::Upstream> = Vec::new();
        let max_attempts = proxied.route.max_attempts.max(1) as usize;
        let mut may_have_run = false;
        let mut failure = None;
        let mut needs_copy = true;
        loop {
            let may_send = tried.len() < max_attempts && self.admits(proxied);
            if std::mem::take(&mut needs_copy) && may_send {
                // The queue may choose a replica again that has refused the request. One that has failed
                // it must not get it again.
                let selection = match (copies.is_empty(), may_have_run) {
                    (true, false) => self.wait_for_replica(proxied, &tried).await,
                    (true, true) => self.poll_for_replica(proxied, &tried).await,
                    (false, _) => self.routers.select(proxied.service, &tried),
                };
                if let Some(selection) = selection.map(Rc::new) {
                    tried.push(selection.replica.clone());
                    let copy = exchange(selection.clone());
                    copies.send(proxied.route, &selection, proxied.deadline, copy);
                }
            }
            if copies.is_empty() {
                break;
            }
            let may_send = tried.len() < max_attempts && self.admits(proxied);
            match copies.next(proxied.deadline, may_send).await {
                Step::Ended(_, Attempt::Responded(response)) => return response,
                Step::Ended(_, Attempt::NotRun) => needs_copy = true,
                Step::Ended(replica, Attempt::Unsent) => {
                    tried.retain(|tried| *tried != replica);
                    needs_copy = true;
                }
                Step::Ended(_, Attempt::Failed(response)) => {
                    may_have_run = true;
                    failure = response;
                    needs_copy = true;
                }
                Step::Removed => {
                    may_have_run = true;
                    needs_copy = true;
                }
                Step::HedgeDue => match self.routers.select(proxied.service, &tried) {
                    Some(selection) => {
                        let selection = Rc::new(selection);
                        let copy = exchange(selection.clone());
                        if copies.send_hedge(proxied.route, &selection, proxied.deadline, copy) {
                            tried.push(selection.replica.clone());
                        }
                    }
                    None => copies.postpone_hedge(),
                },
                Step::Ended(_, Attempt::TimedOut) | Step::Woken => {
                    copies.expire();
                    return self.time_out(proxied, tried.len());
                }
            }
        }
        match failure {
            Some(response) => response,
            None if may_have_run => self.fail(proxied, tried.len()),
            None => self.refuse(proxied, tried.len()),
        }
    }
}
