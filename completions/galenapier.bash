# bash completion for galenapier

_galenapier ()
{
  local cur prev command common options
  cur=${COMP_WORDS[COMP_CWORD]}
  prev=${COMP_WORDS[COMP_CWORD - 1]}
  command=${COMP_WORDS[1]}
  common="--entry --token-file --timeout --json --help"

  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "check publish config status submit jobs watchers
      cancel explain losses counters timeline --help --version" -- "$cur"))
    return
  fi
  if [ "$command" = config ] && [ "$COMP_CWORD" -eq 2 ]; then
    COMPREPLY=($(compgen -W "show diff history wait" -- "$cur"))
    return
  fi
  case $prev in
    --token-file | -t | --payload-file)
      COMPREPLY=($(compgen -f -- "$cur"))
      return
      ;;
    --entry | -e)
      COMPREPLY=($(compgen -W "${GALENAPIER_ENTRY//,/ }" -- "$cur"))
      return
      ;;
  esac
  case $command in
    check) options="--schema" ;;
    publish) options="--base --latest --author --comment --wait" ;;
    submit) options="--kind --team --count --payload --payload-file --key" ;;
    jobs | watchers) options="--state --team --kind" ;;
    timeline) options="--trace --since --kind --process --task --request" ;;
    *) options="" ;;
  esac
  case $cur in
    -*) COMPREPLY=($(compgen -W "$options $common" -- "$cur")) ;;
    *)
      case $command in
        check | publish | config | timeline)
          COMPREPLY=($(compgen -f -- "$cur"))
          ;;
      esac
      ;;
  esac
}

complete -o filenames -F _galenapier galenapier
