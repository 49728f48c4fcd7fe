//! Regenerates the code of `dahliawood-peer` from its Cap'n Proto schema. Needs the `capnp`
//! compiler, which a build of the workspace doesn't.

fn main() {
    let package_dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../dahliawood-peer");
    capnpc::CompilerCommand::new()
        .src_prefix(format!("{package_dir}/schema"))
        .file(format!("{package_dir}/schema/peer.capnp"))
        .output_path(format!("{package_dir}/src/generated"))
        .default_parent_module(vec!["generated".into()])
        .run()
        .expect("the schema compiles");
}
