//! Writes the generated code anew from the schema; needs the `capnp` compiler, which a build doesn't.

fn main() {
    let home = concat!(env!("CARGO_MANIFEST_DIR"), "/../dahliawood-peer");
    capnpc::CompilerCommand::new()
        .src_prefix(format!("{home}/schema"))
        .file(format!("{home}/schema/peer.capnp"))
        .output_path(format!("{home}/src/generated"))
        .default_parent_module(vec!["generated".into()])
        .run()
        .expect("the schema compiles");
}
