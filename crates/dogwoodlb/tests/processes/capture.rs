//! The output of a child process, read while it runs.

use std::io::Read;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

const CHUNK_BYTES: usize = 4096;

/// The text that a child process has written to one of its streams so far.
///
/// A thread reads the stream, so that a child never blocks on a full pipe.
pub(crate) struct Capture {
    bytes: Arc<Mutex<Vec<u8>>>,
    reader: Option<JoinHandle<()>>,
}

impl Capture {
    /// Reads a stream until its end.
    pub(crate) fn start(mut stream: impl Read + Send + 'static) -> Self {
        let bytes = Arc::new(Mutex::new(Vec::new()));
        let sink = bytes.clone();
        let reader = std::thread::spawn(move || {
            let mut chunk = [0; CHUNK_BYTES];
            while let Ok(length @ 1..) = stream.read(&mut chunk) {
                let mut bytes = sink.lock().unwrap_or_else(PoisonError::into_inner);
                bytes.extend_from_slice(&chunk[..length]);
            }
        });
        Self {
            bytes,
            reader: Some(reader),
        }
    }

    /// Waits for the end of the stream, which comes with the end of the child, and returns the
    /// whole text.
    pub(crate) fn finish(&mut self) -> String {
        if let Some(reader) = self.reader.take() {
            // The reader doesn't panic.
            let _ = reader.join();
        }
        let bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}
