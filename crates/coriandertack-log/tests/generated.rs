//! Guards against generated code that does not match the schemas in `proto/`.
//!
//! `UPDATE_EXPECT=1 cargo test -p coriandertack-log --test generated` regenerates the files.

use std::{fs, path::Path};

use expect_test::{ExpectFile, expect_file};

fn assert_matches(schema: &str, module: &str, expected: ExpectFile) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let descriptors =
        protox::compile([root.join("proto").join(schema)], [root.join("proto")]).unwrap();
    prost_build::Config::new().out_dir(out).compile_fds(descriptors).unwrap();
    expected.assert_eq(&fs::read_to_string(out.join(module)).unwrap());
}

#[test]
fn generated_code_of_the_log_matches_the_schema() {
    let expected = expect_file!["../src/generated/coriandertack.log.v1.rs"];
    assert_matches("log.proto", "coriandertack.log.v1.rs", expected);
}

#[test]
fn generated_code_of_jobs_matches_the_schema() {
    let expected = expect_file!["../src/generated/coriandertack.jobs.v1.rs"];
    assert_matches("jobs.proto", "coriandertack.jobs.v1.rs", expected);
}
