//! Demonstration: starts a complete fleet on loopback as separate processes and sends two requests
//! through it.
//!
//! The stand-ins for the platform, the engines and the services are processes of this program, too.
//! Their faults can be set with HTTP requests while they run.

mod standin;

use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;

use clap::{Arg, ArgAction};
use cornelpass_standin::http::fetch;
use cornelpass_standin::launcher::{Launcher, Layout, MODEL, SERVICE};
use cornelpass_standin::process::{self, Process};
use serde_json::{Value, json};

use crate::standin::{Kind, Standin};

fn main() -> io::Result<()> {
    let mut command = clap::Command::new("demo")
        .about("Starts a fleet on loopback and sends a streamed chat and a service call through it")
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep the fleet running until the standard input closes"),
        );
    for kind in Kind::ALL {
        command = command.subcommand(standin::command(kind));
    }
    let matches = command.get_matches();
    if let Some((name, matches)) = matches.subcommand() {
        return standin::run(name, matches);
    }
    process::build_programs()?;
    let demo = Demo::start()?;
    demo.print_addresses()?;
    stream_chat(demo.router_address(0)?)?;
    demo.call_service()?;
    if matches.get_flag("keep") {
        demo.print_commands()?;
        println!("\nThe fleet runs until the standard input closes.");
        io::copy(&mut io::stdin().lock(), &mut io::sink())?;
    }
    Ok(())
}

/// A fleet whose stand-ins are separate processes. Dropping it stops everything.
struct Demo {
    routers: Vec<Process>,
    sidecars: Vec<Process>,
    platform: Standin,
    engines: Vec<Standin>,
    services: Vec<Standin>,
    launcher: Launcher,
}

impl Demo {
    fn start() -> io::Result<Self> {
        let layout = Layout { engines: 3, services: 2, ..Layout::default() };
        let platform = Standin::start(Kind::Platform)?;
        let start = |kind, count| (0..count).map(move |_| Standin::start(kind));
        let engines = start(Kind::Engine, layout.engines).collect::<io::Result<Vec<_>>>()?;
        let services = start(Kind::Service, layout.services).collect::<io::Result<Vec<_>>>()?;
        let mut launcher = Launcher::new(layout, platform.address)?;
        launcher.engines = engines.iter().map(|engine| engine.address).collect();
        launcher.services = services.iter().map(|service| service.address).collect();
        let (sidecars, routers) = launcher.launch()?;
        Ok(Self { routers, sidecars, platform, engines, services, launcher })
    }

    fn router_address(&self, index: usize) -> io::Result<SocketAddr> {
        self.routers[index].address("callers")
    }

    fn print_addresses(&self) -> io::Result<()> {
        println!("platform   http://{}", self.platform.address);
        let targets = self.engines.iter().chain(&self.services);
        for (index, (target, sidecar)) in targets.zip(&self.sidecars).enumerate() {
            let operators = sidecar.address("operators")?;
            let (name, address) = (self.launcher.target_name(index), target.address);
            println!("{name:<10} http://{address}, console of its sidecar: http://{operators}");
        }
        for (index, router) in self.routers.iter().enumerate() {
            let (callers, operators) = (router.address("callers")?, router.address("operators")?);
            println!("router-{}   http://{callers}, console: http://{operators}", index + 1);
        }
        Ok(())
    }

    /// Sends one service call with the same idempotency key through each router, and prints how
    /// often the services executed it: once, since both calls have the same key.
    fn call_service(&self) -> io::Result<()> {
        let headers = [("x-organisation", "org-1"), ("idempotency-key", "deposit-2291")];
        let body = json!({"deposit_eur": 450}).to_string();
        let path = format!("/v1/services/{SERVICE}/deposits");
        for index in 0..self.routers.len() {
            println!("\n$ POST {path} through router-{}, idempotency-key: deposit-2291", index + 1);
            let (status, response) =
                fetch(self.router_address(index)?, "POST", &path, &headers, &body)?;
            println!("{status} {response}");
        }
        let mut executions = 0;
        for service in &self.services {
            let (_, text) = fetch(service.address, "GET", "/count", &[], "")?;
            let count: Value = serde_json::from_str(&text)?;
            executions += count["total"].as_u64().unwrap_or(0);
        }
        println!("\nThe services executed the deposit {executions} time(s).");
        Ok(())
    }

    /// Prints commands to try while the fleet runs.
    fn print_commands(&self) -> io::Result<()> {
        let (router, console) = (self.router_address(0)?, self.routers[0].address("operators")?);
        let (platform, engine) = (self.platform.address, self.engines[0].address);
        let service = self.services[0].address;
        println!(
            r#"
Try a streamed chat, a service call, and the status of the router:

  curl -N http://{router}/v1/chat/completions -H 'x-organisation: org-1' -H 'x-chat-id: a' \
    -d '{{"model":"{MODEL}","messages":[{{"role":"user","content":"spruce"}}],"max_tokens":40,"stream":true}}'
  curl -i http://{router}/v1/services/{SERVICE}/deposits -H 'x-organisation: org-1' \
    -H 'idempotency-key: deposit-1' -d '{{"deposit_eur":450}}'
  curl http://{console}/status

Set faults, and clear them with -d '{{}}'; the counts show the requests that arrived:

  curl http://{engine}/faults -d '{{"crash":true}}'           restarts engine-1
  curl http://{engine}/faults -d '{{"silence_open":true}}'    silences its open connections
  curl http://{engine}/counts
  curl http://{service}/faults -d '{{"lose_answers":1}}'      service-1 executes a call without a response
  curl http://{service}/count
  curl http://{platform}/faults -d '{{"table":"down"}}'       the platform stops responding"#
        );
        Ok(())
    }
}

/// Streams a chat and prints each line of the response when it arrives.
fn stream_chat(router: SocketAddr) -> io::Result<()> {
    println!("\n$ POST /v1/chat/completions (streamed)");
    let body = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": "Draft a brief for a spruce top."}],
        "max_tokens": 8,
        "stream": true,
    });
    let request = minreq::post(format!("http://{router}/v1/chat/completions"))
        .with_header("x-organisation", "org-1")
        .with_header("x-chat-id", "brief-17")
        .with_body(body.to_string())
        .with_timeout(30);
    let response = request.send_lazy().map_err(io::Error::other)?;
    println!("{}", response.status_code);
    for line in BufReader::new(response).lines() {
        println!("{}", line?);
        io::stdout().flush()?;
    }
    Ok(())
}
