//! Guards against a merge of log files that drops lines, reorders them or assigns them to the wrong
//! process.

use dogwoodlb_ctl::{run, Exit, HttpClient};
use rstest::rstest;
use std::path::PathBuf;

const FIRST: &str = r#"ts=2026-04-06T22:00:01.5Z level=info message=started node=edge-1 boot=7
ts=2026-04-06T22:00:02Z level=info message=batch_submitted batch=b1 outcome=stored
message=lines_left_out count=12
ts=2026-04-06T22:00:04Z level=info message=run_failed batch=b1 item=i1 replica=r9 error="store: \"status 503\" at key=x"
"#;

const SECOND: &str = r#"ts=2026-04-06T22:00:01Z level=info message=started node=edge-2 boot=3
ts=2026-04-06T22:00:03Z level=info message=leader_known service=tok node=edge-1 row=4
ts=2026-04-06T22:00:03Z level=info message=request_ended request=q1 outcome=not_run
thread 'main' panicked
"#;

struct LogFiles(PathBuf);

impl LogFiles {
    fn write(test: &str) -> Self {
        let name = format!("dogwoodctl-{test}-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("a.log"), FIRST).unwrap();
        std::fs::write(directory.join("b.log"), SECOND).unwrap();
        Self(directory)
    }

    fn timeline(&self, options: &str) -> (Exit, String, String) {
        let file = |name| self.0.join(name).display().to_string();
        let (a, b) = (file("a.log"), file("b.log"));
        let mut args = vec!["timeline", "--log", &a, "--log", &b];
        args.extend(options.split_whitespace());
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = run(&args, &HttpClient::new(), &mut out, &mut err);
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (exit, text(out), text(err))
    }
}

impl Drop for LogFiles {
    fn drop(&mut self) {
        // A failure is harmless: the directory is in the system's temporary directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn processes_and_messages(out: &str) -> Vec<String> {
    let words = out.lines().map(|line| {
        let mut words = line.split(' ').skip(1);
        let process = words.next().unwrap();
        let message = words.find(|word| word.starts_with("message=")).unwrap();
        format!("{process} {}", &message["message=".len()..])
    });
    words.collect()
}

#[test]
fn merged_by_time() {
    let (exit, out, err) = LogFiles::write("merge").timeline("");
    assert_eq!(exit, Exit::Done, "{err}");
    let expected = [
        "edge-2 started",
        "edge-1 started",
        "edge-1 batch_submitted",
        "edge-1 lines_left_out",
        "edge-2 leader_known",
        "edge-2 request_ended",
        "edge-1 run_failed",
    ];
    assert_eq!(processes_and_messages(&out), expected);
    assert!(out.ends_with("error=\"store: \\\"status 503\\\" at key=x\"\n"));
    assert!(err.contains("1 lines of"), "{err}");
}

#[rstest]
#[case::request("--request q1", &["edge-2 request_ended"])]
#[case::batch("--batch b1", &["edge-1 batch_submitted", "edge-1 run_failed"])]
#[case::item("--item i1", &["edge-1 run_failed"])]
#[case::replica("--replica r9 --batch b1", &["edge-1 run_failed"])]
#[case::service("--service tok", &["edge-2 leader_known"])]
#[case::holder("--holder edge-1 --service tok", &["edge-2 leader_known"])]
#[case::none("--batch b2", &[])]
fn filters(#[case] options: &str, #[case] expected: &[&str]) {
    let name = format!("filter-{}", options.replace([' ', '-'], ""));
    let (exit, out, _) = LogFiles::write(&name).timeline(options);
    assert_eq!(exit, Exit::Done);
    assert_eq!(processes_and_messages(&out), expected);
}

/// A filter that the source does not support would otherwise match everything or nothing.
#[test]
fn unsupported_filter() {
    let (exit, out, err) = LogFiles::write("misplaced").timeline("--lease x");
    assert_eq!((exit, out.as_str()), (Exit::Usage, ""));
    assert!(err.contains("--lease does not apply"), "{err}");
}

#[test]
fn unreadable_file() {
    let (exit, _, err) = LogFiles::write("unreadable").timeline("--log no-such-file.log");
    assert_eq!(exit, Exit::Usage);
    assert!(
        err.contains("cannot read the log at no-such-file.log"),
        "{err}"
    );
}
