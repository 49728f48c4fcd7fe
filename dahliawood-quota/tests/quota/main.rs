//! Properties of shares and loans over generated histories.

mod bucket;
mod fleet;
mod grant;
mod history;
mod oracle;
mod promises;
mod queue;
mod seed;
mod store;
mod window;
