//! Guards against generated code that is older than the `.proto` file.
//!
//! `UPDATE_EXPECT=1 cargo test -p coriandertack-peers --test generated` writes it anew.

use expect_test::expect_file;

#[test]
fn generated_code_is_current() {
    let root = env!("CARGO_MANIFEST_DIR");
    let file = format!("{root}/proto/peers.proto");
    let files = protox::compile([&file], [format!("{root}/proto")]).expect("the file compiles");
    let mut config = prost_build::Config::new();
    config.bytes(["."]);
    let request = prost_build::Module::from_protobuf_package_name("coriandertack.peers");
    let modules = config
        .generate(files.file.into_iter().map(|file| (request.clone(), file)).collect())
        .expect("the file generates");
    expect_file![format!("{root}/src/generated/peers.rs")].assert_eq(&modules[&request]);
}
