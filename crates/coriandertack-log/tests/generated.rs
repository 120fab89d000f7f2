//! Guards against generated code that no longer matches `proto/log.proto`.
//!
//! `UPDATE_EXPECT=1 cargo test -p coriandertack-log --test generated` writes the file anew.

use std::{fs, path::Path};

use expect_test::expect_file;

#[test]
fn generated_code_matches_the_schema() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let schema = protox::compile([root.join("proto/log.proto")], [root.join("proto")]).unwrap();
    prost_build::Config::new().out_dir(out).compile_fds(schema).unwrap();
    let generated = fs::read_to_string(out.join("coriandertack.log.v1.rs")).unwrap();
    expect_file!["../src/generated/coriandertack.log.v1.rs"].assert_eq(&generated);
}
