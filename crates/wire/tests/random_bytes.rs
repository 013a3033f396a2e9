//! Guards against panics on arbitrary bytes, and against decoded frames that change or fail when
//! they are encoded again.

use dogwoodlb_wire::{from_reader, from_slice, to_vec, Category, VERSION};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A ping from `a1` with an update about `b2`, without the last byte (its incarnation).
const PING: [u8; 15] = [
    VERSION, 0, 2, b'a', b'1', 9, 7, 0, 0, 0, 1, 2, b'b', b'2', 1,
];

fn ping() -> Vec<u8> {
    [&PING[..], &[9]].concat()
}

/// Asserts that a frame that decodes can be encoded and decodes to the same value again.
fn check(bytes: &[u8]) {
    if let Ok(frame) = from_slice(bytes) {
        assert_eq!(from_slice(&to_vec(&frame).unwrap()).unwrap(), frame);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_datagrams(bytes in prop::collection::vec(any::<u8>(), 0..1_400)) {
        check(&bytes);
        check(&[&[VERSION], &bytes[..]].concat());
    }

    #[test]
    fn arbitrary_streams(body in prop::collection::vec(any::<u8>(), 0..400), prefix: u32) {
        let _ = from_reader(&mut [&prefix.to_be_bytes()[..], &body].concat().as_slice());
        let prefix = (body.len() as u32 + 1).to_be_bytes();
        let framed = [&prefix[..], &[VERSION], &body].concat();
        let _ = from_reader(&mut framed.as_slice());
    }

    #[test]
    fn changed_bytes(at in 0..16_usize, byte: u8) {
        let mut bytes = ping();
        bytes[at] = byte;
        check(&bytes);
        if at == 0 && byte != VERSION {
            let error = from_slice(&bytes).unwrap_err();
            prop_assert_eq!(error.classify(), Category::Version);
        }
    }
}

#[test]
fn malformed_frames() {
    let bytes = ping();
    assert!(from_slice(&bytes).is_ok());
    let longer = [&bytes[..], &[0]].concat();
    // Names are validated on decoding, so that an invalid one can't enter the node.
    let mut invalid_name = bytes.clone();
    invalid_name[12] = b'B';
    let truncated = (0..bytes.len()).map(|length| bytes[..length].to_vec());
    for bytes in truncated.chain([longer, invalid_name]) {
        let error = from_slice(&bytes).unwrap_err();
        assert_eq!(error.classify(), Category::Malformed, "{bytes:?}");
    }
}
