//! Guards against generated code that does not match the `.proto` files.
//!
//! `UPDATE_EXPECT=1 cargo test -p coriandertack-peers --test generated` regenerates it.

use expect_test::expect_file;

fn assert_current(name: &str, package: &str) {
    let root = env!("CARGO_MANIFEST_DIR");
    let file = format!("{root}/proto/{name}.proto");
    let files =
        protox::compile([&file], [format!("{root}/proto")]).expect("the .proto file must compile");
    let mut config = prost_build::Config::new();
    config.bytes(["."]);
    let module = prost_build::Module::from_protobuf_package_name(package);
    let modules = config
        .generate(files.file.into_iter().map(|file| (module.clone(), file)).collect())
        .expect("the code must generate");
    expect_file![format!("{root}/src/generated/{name}.rs")].assert_eq(&modules[&module]);
}

#[test]
fn generated_code_of_peer_links_is_current() {
    assert_current("peers", "coriandertack.peers");
}

#[test]
fn generated_code_of_leader_links_is_current() {
    assert_current("leader", "coriandertack.leader");
}
