//! Guards against a header row that a node of the previous or of this version can't read, or whose
//! organisation gets lost.

use dogwoodlb_batch::{BatchHeader, Record};

/// A header as the previous version encodes it.
const WITHOUT_ORGANISATION: [u8; 37] = [
    6, b'e', b'd', b'g', b'e', b'-', b'0', // owner
    7,    // writer id
    11, b'l', b'a', b'b', b'.', b'e', b'x', b'a', b'm', b'p', b'l', b'e', // host
    2, b'/', b'r', // path
    5, b'j', b'u', b'd', b'g', b'e', // service
    200, 1, // items
    2, // parts
    3, // results
    1, // ended
    255, 255, 3, // time of the submission
];
/// What this version appends for the organisation `acme`.
const ORGANISATION: [u8; 6] = [1, 4, b'a', b'c', b'm', b'e'];

fn header(organisation: Option<&str>) -> BatchHeader {
    BatchHeader {
        owner: "edge-0".into(),
        writer_id: 7,
        host: "lab.example".into(),
        path: "/r".into(),
        service: "judge".into(),
        item_count: 200,
        part_count: 2,
        result_count: 3,
        ended: true,
        submitted_ms: 65_535,
        organisation: organisation.map(str::to_owned),
    }
}

#[test]
fn both_directions() {
    let with_organisation = [&WITHOUT_ORGANISATION[..], &ORGANISATION].concat();
    for (organisation, bytes) in [
        (None, WITHOUT_ORGANISATION.to_vec()),
        (Some("acme"), with_organisation),
    ] {
        let header = header(organisation);
        assert_eq!(header.to_vec().unwrap(), bytes);
        assert_eq!(BatchHeader::from_slice(&bytes).unwrap(), header);
        // The previous version reads the fields in this order and ignores what follows.
        let known: BatchHeader = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(known, self::header(None));
    }
}

/// A header whose organisation is unreadable must not count as one without an organisation.
#[test]
fn cut_organisation() {
    let bytes = [&WITHOUT_ORGANISATION[..], &ORGANISATION].concat();
    for cut in WITHOUT_ORGANISATION.len() + 1..bytes.len() {
        assert!(
            BatchHeader::from_slice(&bytes[..cut]).is_err(),
            "{cut} bytes"
        );
    }
}
