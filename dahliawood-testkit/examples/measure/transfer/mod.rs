//! Measures what it costs to bring a large configuration to every VM: bytes over the links of the store and
//! of the VMs, calls to the store, and the time to compress it.
//!
//! The bytes are of documents like those of the users' platform, with names that are random.

use dahliawood_steer::rendezvous;
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use dahliawood_testkit::operator_config;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use std::io::{Read, Write};
use std::time::Instant;

/// Routes of the documents.
const ROUTES: [u64; 4] = [20, 1_400, 2_800, 4_200];
/// VMs and failure domains.
const FLEETS: [(usize, usize); 4] = [(60, 6), (76, 6), (300, 9), (920, 27)];
/// Bytes of a part, and of a value that is sent with the changes.
const PART_BYTES: usize = 64 * 1024;
const SHORT_BYTES: usize = 16 * 1024;

/// A configuration document with `count` routes.
fn document(count: u64) -> Vec<u8> {
    let route = |index: u64| {
        let name = rendezvous::name_hash(&index.to_le_bytes());
        operator_config::route(&format!("/{name:x}/"), "idempotent", true, "service")
    };
    let routes: Vec<_> = (0..count).map(route).collect();
    operator_config::document(1, &routes, &[], &["service"])
        .to_string()
        .into_bytes()
}

fn compress(document: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document).expect("memory");
    encoder.finish().expect("memory")
}

/// Measures documents, and the change of one in fleets.
pub fn run(_seed: u64, report: &mut FigureReport) {
    for routes in ROUTES {
        let document = document(routes);
        let started = Instant::now();
        let compressed = compress(&document);
        let compress_ms = started.elapsed().as_secs_f64() * 1e3;
        let started = Instant::now();
        let mut decoded = Vec::new();
        ZlibDecoder::new(compressed.as_slice())
            .read_to_end(&mut decoded)
            .expect("a whole stream");
        let decompress_ms = started.elapsed().as_secs_f64() * 1e3;
        let name = |figure: &str| format!("{routes}-routes-{figure}");
        let bytes = document.len() as f64;
        report.figure(name("document"), bytes, "B", FigureTarget::None);
        report.figure(name("compress"), compress_ms, "ms", FigureTarget::None);
        report.figure(name("decompress"), decompress_ms, "ms", FigureTarget::None);
        let (sent, calls) = match document.len() > SHORT_BYTES {
            true => (compressed.len(), compressed.len().div_ceil(PART_BYTES)),
            false => (document.len(), 0),
        };
        report.figure(name("to-a-follower"), sent as f64, "B", FigureTarget::None);
        report.figure(name("parts"), calls as f64, "calls", FigureTarget::None);
        for (vms, domains) in FLEETS {
            let followers = (vms - domains) as f64;
            let name = |figure: &str| format!("{routes}-routes-{vms}-vms-{figure}");
            // The store's answers are in base64, to one VM of each failure domain.
            let store = domains as f64 * bytes * 4.0 / 3.0;
            report.figure(name("from-store"), store, "B", FigureTarget::None);
            let between = followers * sent as f64;
            report.figure(name("between-vms"), between, "B", FigureTarget::None);
            let former = followers * bytes;
            report.figure(
                name("between-vms-formerly"),
                former,
                "B",
                FigureTarget::None,
            );
            report.figure(
                name("store-calls"),
                domains as f64,
                "calls",
                FigureTarget::None,
            );
        }
    }
}
