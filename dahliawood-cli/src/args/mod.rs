//! The command line: commands, their flags and variables.

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
    /// What to do.
    pub command: CliCommand,
}

/// Where the operators' API of the fleet is.
#[derive(Clone, Debug, Bpaf)]
pub struct OperatorArgs {
    /// Operators' addresses of one or more VMs, comma between them; the first that answers is used
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
    /// Name of this write, to ask for it later; a random one by default
    #[bpaf(long("write"), argument("ID"), optional)]
    pub write_id: Option<String>,
    /// How long to wait until it is in force everywhere, seconds
    #[bpaf(long, argument("SECONDS"), fallback(10), display_fallback)]
    pub wait: u64,
}

/// What the command line does.
#[derive(Clone, Debug, Bpaf)]
pub enum CliCommand {
    /// Check a file; needs no network
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what a file would change of the configuration in force
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
    /// Show the fleet, or what became of a write
    #[bpaf(command)]
    Status {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// The write to ask about
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
        /// Over how long the traffic moves away, such as "10 m"
        #[bpaf(long, argument("SPAN"), fallback("0 s".to_owned()), display_fallback)]
        over: String,
        /// End the drain
        #[bpaf(long)]
        undo: bool,
        /// target, domain or region
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Grant, withdraw, rotate and list customers' keys
    #[bpaf(command)]
    Keys {
        #[bpaf(external(key_command))]
        /// What to do with keys.
        command: KeyCommand,
    },
    /// Show the time line of events over all VMs
    #[bpaf(command)]
    Events {
        #[bpaf(external(operator_args))]
        operator: OperatorArgs,
        /// Only events after this many seconds ago
        #[bpaf(long, argument("SECONDS"), optional)]
        since: Option<u64>,
        /// Go on with new events until interrupted
        #[bpaf(long)]
        follow: bool,
        /// Only this VM's
        #[bpaf(long, argument("NAME"), optional)]
        vm: Option<String>,
        /// Only this kind, such as revision-in-force
        #[bpaf(long, argument("KIND"), optional)]
        kind: Option<String>,
    },
    /// Run a whole fleet on loopback with embedded stand-ins and send callers through it
    #[bpaf(command)]
    Demo {
        /// How long callers send, seconds
        #[bpaf(long, argument("SECONDS"), fallback(5), display_fallback)]
        seconds: u64,
        /// Leave the fleet running
        #[bpaf(long)]
        keep: bool,
    },
}

/// What is done with keys.
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
