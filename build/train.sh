# Makes target/app.jsa by a short run of the real program against a small store and
# replica of its own on loopback, with the options that deploy/system.toml names. Sourced
# by build/deploy.sh.
options=$(sed -n 's/^run = "[^ ]* \(.*\)"$/\1/p' deploy/system.toml | sed 's/-XX:SharedArchiveFile=[^ ]*//')
target/runtime/bin/java -XX:ArchiveClassesAtExit=target/app.jsa -Xshare:auto ${options% org.gullsaddle*} \
	org.gullsaddle.platform.PlatformMain --help >/dev/null 2>&1 || true
