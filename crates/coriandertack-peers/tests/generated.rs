//! Guards against generated code that is older than the `.proto` files.
//!
//! `UPDATE_EXPECT=1 cargo test -p coriandertack-peers --test generated` writes it anew.

use expect_test::expect_file;

fn assert_current(name: &str, package: &str) {
    let root = env!("CARGO_MANIFEST_DIR");
    let file = format!("{root}/proto/{name}.proto");
    let files = protox::compile([&file], [format!("{root}/proto")]).expect("the file compiles");
    let mut config = prost_build::Config::new();
    config.bytes(["."]);
    let request = prost_build::Module::from_protobuf_package_name(package);
    let modules = config
        .generate(files.file.into_iter().map(|file| (request.clone(), file)).collect())
        .expect("the file generates");
    expect_file![format!("{root}/src/generated/{name}.rs")].assert_eq(&modules[&request]);
}

#[test]
fn generated_code_of_the_links_is_current() {
    assert_current("peers", "coriandertack.peers");
}

#[test]
fn generated_code_of_errands_is_current() {
    assert_current("leader", "coriandertack.leader");
}
