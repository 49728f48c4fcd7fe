//! Properties of shares and loans over generated histories.

mod allocation;
mod bucket;
mod fleet;
mod history;
mod oracle;
mod promises;
mod queue;
mod seed;
mod store;
mod window;
