/**
 * Functions without side effects on data, sequences, the session or anything outside the database.
 * Source: PostgreSQL 15 manual, "Functions and Operators". A statement that calls a function that isn't
 * listed is classified as a write.
 */
const AGGREGATES = `
  any_value array_agg avg bit_and bit_or bit_xor bool_and bool_or corr count covar_pop covar_samp
  cume_dist dense_rank every first_value json_agg json_object_agg jsonb_agg jsonb_object_agg lag
  last_value lead max min mode nth_value ntile percent_rank percentile_cont percentile_disc
  range_agg rank regr_slope regr_intercept row_number stddev stddev_pop stddev_samp string_agg sum
  var_pop var_samp variance`;

const NUMBERS = `
  abs acos asin atan atan2 cbrt ceil ceiling cos cot degrees div exp factorial floor gcd lcm ln log
  log10 mod pi power radians random round scale sign sin sqrt tan trim_scale trunc width_bucket`;

const STRINGS = `
  ascii bit_length btrim char_length character_length chr concat concat_ws convert_from convert_to
  decode encode format initcap left length lower lpad ltrim md5 normalize octet_length overlay
  parse_ident position quote_ident quote_literal quote_nullable regexp_count regexp_instr
  regexp_like regexp_match regexp_matches regexp_replace regexp_split_to_array
  regexp_split_to_table regexp_substr repeat replace reverse right rpad rtrim sha224 sha256 sha384
  sha512 split_part starts_with string_to_array string_to_table strpos substr substring to_ascii
  to_char to_date to_hex to_number to_timestamp translate trim upper unistr`;

const TIMES = `
  age clock_timestamp date date_bin date_part date_trunc extract isfinite justify_days
  justify_hours justify_interval make_date make_interval make_time make_timestamp
  make_timestamptz now statement_timestamp timeofday timezone transaction_timestamp`;

const COLLECTIONS = `
  any all some array_append array_cat array_dims array_fill array_length array_lower array_ndims
  array_position array_positions array_prepend array_remove array_replace array_to_json
  array_to_string array_upper cardinality coalesce generate_series generate_subscripts greatest
  isempty json_array_elements json_array_elements_text json_array_length json_build_array
  json_build_object json_each json_each_text json_extract_path json_extract_path_text json_object
  json_object_keys json_strip_nulls json_typeof jsonb_array_elements jsonb_array_elements_text
  jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
  jsonb_extract_path jsonb_extract_path_text jsonb_object jsonb_object_keys jsonb_path_exists
  jsonb_path_match jsonb_path_query jsonb_path_query_array jsonb_path_query_first jsonb_pretty
  jsonb_set jsonb_insert jsonb_strip_nulls jsonb_typeof least lower_inc lower_inf nullif
  num_nonnulls num_nulls row row_to_json to_json to_jsonb unnest upper_inc upper_inf int4range
  int8range numrange tsrange tstzrange daterange`;

const TEXT_SEARCH = `
  phraseto_tsquery plainto_tsquery to_tsquery to_tsvector ts_headline ts_rank ts_rank_cd
  websearch_to_tsquery gen_random_uuid`;

/** Functions that read the server's state without changing it. `pg_sleep` only waits. */
const SYSTEM = `
  col_description current_catalog current_database current_role current_schema current_schemas
  current_setting current_user format_type has_column_privilege has_database_privilege
  has_schema_privilege has_table_privilege inet_server_addr inet_server_port obj_description
  pg_backend_pid pg_client_encoding pg_column_size pg_current_wal_lsn pg_database_size
  pg_encoding_to_char pg_get_constraintdef pg_get_expr pg_get_indexdef pg_get_userbyid
  pg_get_viewdef pg_has_role pg_indexes_size pg_is_in_recovery pg_last_wal_receive_lsn
  pg_last_wal_replay_lsn pg_last_xact_replay_timestamp pg_postmaster_start_time
  pg_relation_size pg_size_pretty pg_sleep pg_sleep_for pg_sleep_until pg_table_is_visible
  pg_table_size pg_total_relation_size pg_type_is_visible pg_typeof pg_wal_lsn_diff
  session_user shobj_description to_regclass to_regtype txid_current_if_assigned version`;

const LISTED = [AGGREGATES, NUMBERS, STRINGS, TIMES, COLLECTIONS, TEXT_SEARCH, SYSTEM];

/** Lower-case names, without schema. */
export const PURE_FUNCTIONS: ReadonlySet<string> = new Set(LISTED.join(' ').trim().split(/\s+/));
