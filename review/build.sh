#!/bin/sh
# Bundles the project's own stand-ins into target/review/stand-ins.cjs. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
cat > target/review/entry.ts <<'ENTRY'
export { FakeCloud } from '../../test/simulation/fake-cloud.ts';
export { FakeKeyValueStore } from '../../test/simulation/fake-key-value-store.ts';
export {
  cloudHandler,
  decodeHeartbeatAnswer,
  encodeHeartbeat,
  startHttpServer,
  storeHandler,
  workersHandler,
} from '../../test/simulation/fake-servers.ts';
export { FakeWorker } from '../../test/simulation/fake-worker.ts';
export { settingsFile } from '../../test/simulation/settings-file.ts';
export { systemClock } from '../../src/model/time.ts';
export { HttpConnectionPool } from '../../src/net/http-client.ts';
ENTRY
node_modules/.bin/esbuild target/review/entry.ts --bundle --platform=node --format=cjs \
  --outfile=target/review/stand-ins.cjs --log-level=warning
