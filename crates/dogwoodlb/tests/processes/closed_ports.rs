//! A node that ends while the reader of its log has stopped.

use crate::edge;
use crate::process::{binary, wait_for, Process};
use rustix::fs::{fcntl_setfl, OFlags};
use rustix::process::Signal;
use std::io::{pipe, ErrorKind, PipeReader, PipeWriter, Write};
use std::net::TcpStream;

/// Returns a pipe that takes no more bytes until the reader, which must be kept, is read.
fn full_pipe() -> (PipeReader, PipeWriter) {
    const CHUNK_BYTES: usize = 4_096;
    let (reader, mut writer) = pipe().unwrap();
    fcntl_setfl(&writer, OFlags::NONBLOCK).unwrap();
    while writer.write(&[0; CHUNK_BYTES]).is_ok() {}
    fcntl_setfl(&writer, OFlags::empty()).unwrap();
    (reader, writer)
}

/// Guards against callers who connect to a node that has stopped and wait until it has written the
/// last lines of its log, which takes up to a second if nobody reads them.
#[test]
fn refused_during_exit() {
    let settings = edge::Settings::new();
    let name = format!("dogwoodlb-closed-ports-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, &settings.text).unwrap();
    let (_reader, output) = full_pipe();
    let mut node = Process::start_with_output(binary("dogwoodlb"), &edge::args(&path), output);
    wait_for("an open port", || TcpStream::connect(settings.front).ok());
    node.signal(Signal::TERM);
    wait_for("a closed port", || {
        let error = TcpStream::connect(settings.front).err()?;
        assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
        Some(())
    });
    assert!(node.is_running(), "the port was open until the exit");
    // A file in the system's temporary directory does no harm.
    let _ = std::fs::remove_file(path);
}
