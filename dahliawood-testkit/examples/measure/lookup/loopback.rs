//! Compares look-ups over loopback HTTP at one daemon with a bare async-h1 server that returns a
//! constant answer.

use crate::exchange;
use async_std::net::TcpListener;
use async_std::stream::StreamExt;
use async_std::task;
use dahliawood_testkit::{figures, fleet};
use figures::FigureTarget;
use http_types::{Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Configuration file of the deployment.
const FILE: &str = include_str!("../../../../examples/lianguang.toml");
/// A customer's example key, as documented next to the configuration file.
const KEY: &str = "dw_yongguang-1_de280036edad085a7cd92da224714f8d2f5ef85876497792f7396e1a677e0172";
/// Number of concurrent connections.
const CONNECTIONS: usize = 16;
/// Number of look-ups on each connection.
const LOOKUPS: usize = 2_000;
/// The constant answer, about as long as the answer to a look-up.
const CONSTANT_ANSWER: &str = "{\"service\":\"catalogue\",\"revision\":1,\"ttl_ms\":20000,\"vms\":[\
    {\"name\":\"vm-01\",\"url\":\"http://127.0.0.1:10001\"},\
    {\"name\":\"vm-02\",\"url\":\"http://127.0.0.1:10002\"}]}";

/// Measures both servers in one run.
pub async fn measure(report: &mut figures::FigureReport) {
    let options = fleet::FleetOptions {
        file_text: FILE.to_owned(),
        vms: 3,
        delay: Duration::ZERO,
    };
    let started = (fleet::start(&options).await, bare_server().await);
    let (Ok(fleet), Ok(bare_address)) = started else {
        return report.figure("lookup.http.started", 0.0, "-", FigureTarget::AtLeast(1.0));
    };
    let plan = |address, path: &str| exchange::ExchangePlan {
        address,
        path: path.to_owned(),
        bearer: Some(format!("Bearer {KEY}")),
        connections: CONNECTIONS,
        exchanges: LOOKUPS,
    };
    let constant_tally = exchange::run(&plan(bare_address, "/")).await;
    let path = "/v1/lookup?service=catalogue";
    let lookup_tally = exchange::run(&plan(fleet.daemons[0].listen, path)).await;
    let ratio = lookup_tally.per_second() / constant_tally.per_second();
    let failed = (lookup_tally.failed + constant_tally.failed) as f64;
    report.figure(
        "lookup.http.failed",
        failed,
        "requests",
        FigureTarget::AtMost(0.0),
    );
    report.figure(
        "lookup.http.rate",
        lookup_tally.per_second(),
        "1/s",
        FigureTarget::None,
    );
    report.figure(
        "lookup.http.p99",
        lookup_tally.quantile(0.99),
        "us",
        FigureTarget::None,
    );
    report.figure(
        "lookup.bare.rate",
        constant_tally.per_second(),
        "1/s",
        FigureTarget::None,
    );
    report.figure(
        "lookup.bare.p99",
        constant_tally.quantile(0.99),
        "us",
        FigureTarget::None,
    );
    report.figure(
        "lookup.http.rate_ratio",
        ratio,
        "times",
        FigureTarget::AtLeast(0.5),
    );
    fleet.shutdown().await;
}

/// Starts a server that uses only async-h1.
async fn bare_server() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(fleet::any_port()).await?;
    let address = listener.local_addr()?;
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            // Without TCP_NODELAY, the connection would be slower than the daemon's for a reason
            // that has nothing to do with the server.
            let _unset = stream.set_nodelay(true);
            task::spawn(async_h1::accept(stream, |_request| async {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(CONSTANT_ANSWER);
                Ok(response)
            }));
        }
    });
    Ok(address)
}
