//! Guards against changes of the JSON format that operators' tools read.

use dogwoodlb_timeline::{Event, Kind, Stamp};
use dogwoodlb_types::id;
use serde_json::{from_value, json, to_value};

#[test]
fn event_fields() {
    let (millis, logical) = (1_700_000_000_123, 4);
    let stamp = Stamp { millis, logical };
    let empty = Event::new(stamp, "entry-1".parse().unwrap(), Kind::new("accepted"));
    let mut expected = json!({
        "millis": millis, "logical": 4, "vm": "entry-1", "kind": "accepted", "request": null,
        "sample": null, "trainer": null, "lease": null, "detail": {},
    });
    assert_eq!(to_value(&empty).unwrap(), expected);
    assert_eq!(from_value::<Event>(expected.clone()).unwrap(), empty);

    let sample = id::Sample::new("weld".parse().unwrap(), id::Step(3), 1, 2);
    let full = empty.request("r-1").sample(sample);
    let full = full
        .lease("trainer.weld".parse().unwrap())
        .with("attempt", 2);
    expected["request"] = json!("r-1");
    expected["sample"] = json!("weld/3/1/2");
    expected["trainer"] = json!("weld");
    expected["lease"] = json!("trainer.weld");
    expected["detail"]["attempt"] = json!("2");
    assert_eq!(to_value(&full).unwrap(), expected);
    assert_eq!(from_value::<Event>(expected).unwrap(), full);
}

#[test]
fn malformed_events() {
    let valid = json!({"millis": 1, "logical": 0, "vm": "a", "kind": "k"});
    assert!(from_value::<Event>(valid.clone()).is_ok());
    let samples = ["weld/3/1", "weld/3/1/2/5", "weld/x/1/2"].map(|bad| ("sample", bad));
    for (field, bad) in samples.into_iter().chain([("kind", ""), ("vm", "A b")]) {
        let mut value = valid.clone();
        value[field] = json!(bad);
        assert!(from_value::<Event>(value).is_err(), "{field} {bad}");
    }
}
