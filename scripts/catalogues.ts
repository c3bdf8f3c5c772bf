/** Writes docs/EVENTS.md and docs/ERRORS.md from the catalogues in the code. */

import {writeFileSync} from 'node:fs';
import {errorsPage, eventsPage} from '@siskinmux/node';

writeFileSync('docs/EVENTS.md', eventsPage());
writeFileSync('docs/ERRORS.md', errorsPage());
