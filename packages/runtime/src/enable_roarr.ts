/** Switches roarr on; it looks at the environment once, when it is first imported. */

process.env['ROARR_LOG'] ??= 'true';
