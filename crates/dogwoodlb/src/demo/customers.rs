use super::cluster::{agent, Cluster};
use dogwoodlb_http::sse::{EventReader, DONE};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const CUSTOMERS: u64 = 4;
const PAUSE: Duration = Duration::from_millis(20);
const MAX_EVENT_BYTES: usize = 1 << 20;

/// What customers saw.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) latencies_ms: Vec<u64>,
    pub(super) whole: u64,
    /// Answers that were cut, or were another request's.
    pub(super) broken: u64,
    pub(super) refused: BTreeMap<String, u64>,
    /// The ids of requests that were refused as not run.
    pub(super) not_run: Vec<String>,
    /// The keys of orders that were answered.
    pub(super) orders: u64,
    /// Repeated orders that got another answer than the first time.
    pub(super) changed_orders: u64,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.latencies_ms.extend(other.latencies_ms);
        self.whole += other.whole;
        self.broken += other.broken;
        for (code, count) in other.refused {
            *self.refused.entry(code).or_default() += count;
        }
        self.not_run.extend(other.not_run);
        self.orders += other.orders;
        self.changed_orders += other.changed_orders;
    }

    /// Returns the latency at a quantile, in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> u64 {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return 0;
        };
        for latency in &self.latencies_ms {
            // Latencies lie far below the histogram's limit.
            let _ = histogram.record(*latency);
        }
        histogram.value_at_quantile(quantile)
    }
}

/// Customers that call the nodes until they are stopped.
pub(super) struct Customers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Tally>>,
}

impl Customers {
    pub(super) fn start(cluster: &Cluster, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CUSTOMERS).map(|number| {
            let customer = Customer {
                number,
                seed,
                agent: agent(),
                addresses: cluster.addresses(),
                tally: Tally::default(),
            };
            let stop = stop.clone();
            thread::spawn(move || customer.run(&stop))
        });
        Self {
            stop: stop.clone(),
            threads: threads.collect(),
        }
    }

    pub(super) fn stop(self) -> Tally {
        self.stop.store(true, Ordering::SeqCst);
        let mut tally = Tally::default();
        for thread in self.threads {
            tally.add(thread.join().unwrap_or_default());
        }
        tally
    }
}

struct Customer {
    number: u64,
    seed: u64,
    agent: ureq::Agent,
    addresses: Vec<SocketAddr>,
    tally: Tally,
}

impl Customer {
    fn run(mut self, stop: &AtomicBool) -> Tally {
        for round in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let id = format!("c{}-{round}", self.number);
            match round % 4 {
                0 | 1 => self.ask(&id, round),
                2 => self.look_up(&id),
                _ => self.order(&id),
            }
            thread::sleep(PAUSE);
        }
        self.tally
    }

    /// Returns the address for the next request; the customers use both nodes.
    fn address(&self, round: u64) -> SocketAddr {
        let count = self.addresses.len() as u64;
        self.addresses[((self.number + round) % count) as usize]
    }

    /// Asks the model for a streamed answer and checks that it is whole.
    fn ask(&mut self, id: &str, round: u64) {
        let body = json!({
            "model": "advisor",
            "prompt": format!("{}: a frame of {} m", self.seed, round % 7 + 2),
            "max_tokens": 24,
            "stream": true,
        });
        let began = Instant::now();
        let url = format!("http://{}/v1/completions", self.address(round));
        let request = self.agent.post(&url).header("x-caller", "configurator");
        let answer = request.header("x-request-id", id).send_json(&body);
        let Ok(answer) = answer else {
            self.tally.broken += 1;
            return;
        };
        if answer.status() != 200 {
            return self.refused(id, answer);
        }
        let mut events = EventReader::new(answer.into_body().into_reader(), MAX_EVENT_BYTES);
        let (mut tokens, mut report) = (0, Value::Null);
        while let Ok(Some(event)) = events.next_event() {
            if event == DONE {
                let own = report["request_id"]
                    .as_str()
                    .is_some_and(|one| one.starts_with(id));
                let whole = own && report["tokens"].as_u64() == Some(tokens);
                self.count(whole, began);
                return;
            }
            let event: Value = serde_json::from_str(&event).unwrap_or_default();
            tokens += u64::from(
                event["choices"][0]["text"]
                    .as_str()
                    .is_some_and(|t| !t.is_empty()),
            );
            if event["dogwood"].is_object() {
                report = event["dogwood"].clone();
            }
        }
        self.tally.broken += 1;
    }

    /// Calls an internal lookup, which may be repeated.
    fn look_up(&mut self, id: &str) {
        let began = Instant::now();
        let url = format!("http://{}/svc/stock/echo", self.address(0));
        let request = self.agent.post(&url).header("x-caller", "configurator");
        let answer = request.header("x-request-id", id).send(id);
        match answer {
            Ok(mut answer) if answer.status() == 200 => {
                let own = answer
                    .body_mut()
                    .read_to_string()
                    .is_ok_and(|body| body == id);
                self.count(own, began);
            }
            Ok(answer) => self.refused(id, answer),
            Err(_) => self.tally.broken += 1,
        }
    }

    /// Places an order on one node and repeats it on the other.
    fn order(&mut self, id: &str) {
        let first = self.place(id, self.addresses[0]);
        let again = self.place(id, self.addresses[1]);
        match (first, again) {
            (Some(first), Some(again)) => {
                self.tally.orders += 1;
                self.tally.changed_orders += u64::from(first != again);
            }
            (Some(_), None) | (None, Some(_)) => self.tally.orders += 1,
            (None, None) => {}
        }
    }

    fn place(&mut self, id: &str, address: SocketAddr) -> Option<String> {
        let began = Instant::now();
        let url = format!("http://{address}/svc/stock/orders");
        let request = self.agent.post(&url).header("x-caller", "configurator");
        let request = request
            .header("x-request-id", id)
            .header("idempotency-key", id);
        match request.send(id) {
            Ok(mut answer) if answer.status() == 200 => {
                let body = answer.body_mut().read_to_string().ok();
                self.count(body.is_some(), began);
                body
            }
            Ok(answer) => {
                self.refused(id, answer);
                None
            }
            Err(_) => {
                self.tally.broken += 1;
                None
            }
        }
    }

    fn count(&mut self, whole: bool, began: Instant) {
        let latency = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.tally.latencies_ms.push(latency);
        match whole {
            true => self.tally.whole += 1,
            false => self.tally.broken += 1,
        }
    }

    fn refused(&mut self, id: &str, mut answer: ureq::http::Response<ureq::Body>) {
        let body: Value = answer.body_mut().read_json().unwrap_or_default();
        let code = body["error"]["code"]
            .as_str()
            .unwrap_or("unknown")
            .to_owned();
        *self.tally.refused.entry(code).or_default() += 1;
        if body["error"]["ran"] == "not_run" {
            self.tally.not_run.push(id.to_owned());
        }
    }
}
