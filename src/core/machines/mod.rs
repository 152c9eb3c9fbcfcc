//! Machines as the leader knows them: their record, the detection of failed ones, and the calls to the cloud that
//! add and delete them.

pub mod cloud_calls;
pub mod cloud_operations;
pub mod failure_detection;
pub mod machine;
pub mod machine_types;
