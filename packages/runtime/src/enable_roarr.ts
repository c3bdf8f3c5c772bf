/** Enables roarr. Imported before roarr, which reads the variable when it is first imported. */

process.env['ROARR_LOG'] ??= 'true';
