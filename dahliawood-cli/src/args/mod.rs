//! Command-line arguments: commands, their flags and environment variables.

use bpaf::Bpaf;
use std::path::PathBuf;

/// The operators' command line of dahliawood
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("dahliawood"), version)]
pub struct CliArgs {
    /// Print JSON instead of lines
    #[bpaf(long)]
    pub json: bool,
    #[bpaf(external(cli_command))]
    /// The command.
    pub command: CliCommand,
}

/// Address of the operators' API.
#[derive(Clone, Debug, Bpaf)]
pub struct OperatorArgs {
    /// Comma-separated operators' addresses of one or more VMs; the first that answers is used
    #[bpaf(
        long("operator"),
        env("DAHLIAWOOD_OPERATOR"),
        argument("ADDRESS,..."),
        fallback("127.0.0.1:8082".to_owned()),
        display_fallback
    )]
    pub addresses: String,
}

/// How a change is applied.
#[derive(Clone, Debug, Bpaf)]
pub struct ApplyArgs {
    /// Refuse unless this revision is in force
    #[bpaf(long, argument("REVISION"), optional)]
    pub expect: Option<u64>,
    /// Id of this write, for asking about it later; random by default
    #[bpaf(long("write"), argument("ID"), optional)]
    pub write_id: Option<String>,
    /// Maximum time to wait until the change is in force on all VMs, seconds
    #[bpaf(long, argument("SECONDS"), fallback(10), display_fallback)]
    pub wait: u64,
}

/// The commands.
#[derive(Clone, Debug, Bpaf)]
pub enum CliCommand {
    /// Check a file; needs no network
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the differences between the configuration in force and a file
    #[bpaf(command)]
    Diff {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Apply a file: in force everywhere or not at all
    #[bpaf(command)]
    Apply {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        #[bpaf(external(apply_args))]
        apply: ApplyArgs,
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the state of the fleet, or the outcome of a write
    #[bpaf(command)]
    Status {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// Id of the write to ask about
        #[bpaf(long("write"), argument("ID"), optional)]
        write_id: Option<String>,
    },
    /// Ask which VMs to use for a service; the key is read from `DAHLIAWOOD_KEY`
    #[bpaf(command)]
    Lookup {
        /// Callers' address of any VM
        #[bpaf(long, env("DAHLIAWOOD_VM"), argument("ADDRESS"), fallback("127.0.0.1:8080".to_owned()), display_fallback)]
        vm: String,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Drain a target, a failure domain or a region, or end a drain
    #[bpaf(command)]
    Drain {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        #[bpaf(external(apply_args))]
        apply: ApplyArgs,
        /// Time over which the traffic is moved away, such as "10 m"
        #[bpaf(long, argument("SPAN"), fallback("0 s".to_owned()), display_fallback)]
        over: String,
        /// End the drain
        #[bpaf(long)]
        undo: bool,
        /// target, domain or region
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Name of the target, failure domain or region
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Grant, withdraw, rotate and list customers' keys
    #[bpaf(command)]
    Keys {
        #[bpaf(external(key_command))]
        /// The operation on keys.
        command: KeyCommand,
    },
    /// Show the events of all VMs in time order
    #[bpaf(command)]
    Events {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// Only events of the last SECONDS seconds
        #[bpaf(long, argument("SECONDS"), optional)]
        since: Option<u64>,
        /// Keep showing new events until interrupted
        #[bpaf(long)]
        follow: bool,
        /// Only events of this VM
        #[bpaf(long, argument("NAME"), optional)]
        vm: Option<String>,
        /// Only events of this kind, such as revision-in-force
        #[bpaf(long, argument("KIND"), optional)]
        kind: Option<String>,
    },
    /// Run a whole fleet on loopback with an embedded platform and targets, and send requests
    #[bpaf(command)]
    Demo {
        /// How long requests are sent, seconds
        #[bpaf(long, argument("SECONDS"), fallback(5), display_fallback)]
        seconds: u64,
        /// Keep the fleet running afterwards
        #[bpaf(long)]
        keep: bool,
    },
}

/// The operations on keys.
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Grant a customer a new key, which is shown once
    #[bpaf(command)]
    Grant {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        #[bpaf(external(apply_args))]
        apply: ApplyArgs,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// Withdraw a key by its public id
    #[bpaf(command)]
    Withdraw {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        #[bpaf(external(apply_args))]
        apply: ApplyArgs,
        /// The key's public id
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Grant a second key beside the first; withdraw the first once the customer uses the second
    #[bpaf(command)]
    Rotate {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        #[bpaf(external(apply_args))]
        apply: ApplyArgs,
        /// The customer
        #[bpaf(positional("CUSTOMER"))]
        customer: String,
    },
    /// List the public ids of keys in force
    #[bpaf(command)]
    List {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
    },
}
