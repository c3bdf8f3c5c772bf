/**
 * Generates docs/EVENTS.md, docs/GATEWAY_EVENTS.md and docs/ERRORS.md from the
 * catalogues in the code.
 */

import {writeFileSync} from 'node:fs';
import {gatewayEventsPage} from '@siskinmux/gateway';
import {errorsPage, eventsPage} from '@siskinmux/node';

writeFileSync('docs/EVENTS.md', eventsPage());
writeFileSync('docs/ERRORS.md', errorsPage());
writeFileSync('docs/GATEWAY_EVENTS.md', gatewayEventsPage());
